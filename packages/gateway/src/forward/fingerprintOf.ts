import { createHash } from 'node:crypto';
import type { OrganisationId, RequestFingerprint } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import type { IncomingCall } from './ForwardedRequest.js';

/** Hexadecimal digits that are kept; too many for one caller to meet another's. */
const DIGITS = 16;

/**
 * Works out what a request has in common with its repeats.
 *
 * Repeats come under new ids, at any instance. The organisation is part of it, so that
 * nobody can bring another's requests into discredit.
 *
 * @param call - as the caller sent it
 * @param organisation - of the caller; null on public routes
 * @returns the start of a cryptographic hash
 */
export function fingerprintOf(
  { method, target, body }: Pick<IncomingCall, 'body' | 'method' | 'target'>,
  organisation: OrganisationId | null,
): RequestFingerprint {
  const hash = createHash('sha256');
  // Quotes keep the parts from running into each other.
  hash.update(JSON.stringify([organisation, method, target]));
  if (body) {
    hash.update(body);
  }
  return brand<RequestFingerprint>(hash.digest('hex').slice(0, DIGITS));
}
