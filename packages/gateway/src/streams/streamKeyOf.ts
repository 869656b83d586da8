import type { OrganisationId, RequestId, StreamKey } from '@jujubecroft/types';

import { shortHash } from '../util/shortHash.js';

/**
 * Computes the key under which instances tell each other where a stream began.
 *
 * The organisation is part of it, so that no organisation can continue, or learn of, the
 * streams of another.
 *
 * @param organisation - organisation of the caller; null on public routes
 * @param request - request that brought the first event
 * @returns a short hash
 */
export function streamKeyOf(
  organisation: OrganisationId | null,
  request: RequestId,
): StreamKey {
  return shortHash<StreamKey>([organisation, request]);
}
