import { createHash } from 'node:crypto';
import type { OrganisationId, RequestId, StreamKey } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

/** Hexadecimal digits of a key. */
const HEX_DIGITS = 16;

/**
 * Computes the key under which instances tell each other where a stream began.
 *
 * The organisation is part of it, so that no organisation can continue, or learn of, the
 * streams of another.
 *
 * @param organisation - organisation of the caller; null on public routes
 * @param request - request that brought the first event
 * @returns the first digits of a SHA-256 hash
 */
export function streamKeyOf(
  organisation: OrganisationId | null,
  request: RequestId,
): StreamKey {
  const hash = createHash('sha256');
  // JSON quotes the parts, so that different parts never yield the same text.
  hash.update(JSON.stringify([organisation, request]));
  return brand<StreamKey>(hash.digest('hex').slice(0, HEX_DIGITS));
}
