import type { OrganisationId, RequestFingerprint } from '@jujubecroft/types';

import { shortHash } from '../util/shortHash.js';
import type { IncomingRequest } from './IncomingRequest.js';

/**
 * Computes a fingerprint that is equal for repeats of a request.
 *
 * Repeats carry new request ids and may arrive at any instance. The
 * organisation is part of the fingerprint, so that one organisation cannot get
 * the requests of another barred.
 *
 * @param call - the request as the caller sent it
 * @param organisation - organisation of the caller; null on public routes
 * @returns a short hash
 */
export function fingerprintOf(
  { method, target, body }: Pick<IncomingRequest, 'body' | 'method' | 'target'>,
  organisation: OrganisationId | null,
): RequestFingerprint {
  return shortHash<RequestFingerprint>([organisation, method, target], body);
}
