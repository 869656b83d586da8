import { createHash } from 'node:crypto';
import type { OrganisationId, RequestFingerprint } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import type { IncomingRequest } from './IncomingRequest.js';

/**
 * Hexadecimal digits of the hash that are kept; 64 bits make collisions between
 * callers improbable.
 */
const HEX_DIGITS = 16;

/**
 * Computes a fingerprint that is equal for repeats of a request.
 *
 * Repeats carry new request ids and may arrive at any instance. The
 * organisation is part of the fingerprint, so that one organisation cannot get
 * the requests of another barred.
 *
 * @param call - the request as the caller sent it
 * @param organisation - organisation of the caller; null on public routes
 * @returns the first digits of a SHA-256 hash
 */
export function fingerprintOf(
  { method, target, body }: Pick<IncomingRequest, 'body' | 'method' | 'target'>,
  organisation: OrganisationId | null,
): RequestFingerprint {
  const hash = createHash('sha256');
  // JSON quotes the parts, so that different parts never yield the same text.
  hash.update(JSON.stringify([organisation, method, target]));
  if (body) {
    hash.update(body);
  }
  return brand<RequestFingerprint>(hash.digest('hex').slice(0, HEX_DIGITS));
}
