import type { GatewayRequest } from '@jujubecroft/decisions';

/** Time within which a caller continues a stream after its time limit, in milliseconds. */
const CALLER_RETURN_MS = 5000;
/**
 * Longest life of a stream that is believed, and time limit that is assumed of callers that
 * state none, in milliseconds.
 */
const MAX_LIFE_MS = 3_600_000;

/**
 * Returns the time limit that a request states. The time limit of its route doesn't bound
 * the time for which its caller may continue it.
 *
 * @param request - a request for a stream
 * @returns milliseconds from this request on
 */
export function callerLimitMs({
  binding,
}: Pick<GatewayRequest, 'binding'>): number {
  return Math.min(MAX_LIFE_MS, binding?.callerLimitMs ?? MAX_LIFE_MS);
}

/**
 * Returns the age that a stream may reach within the time limit that a request for it states.
 * Callers may state the rest of their limit in each request, or the whole limit anew, so
 * that the age doesn't follow from the limit.
 *
 * @param request - a request for the stream
 * @param provenAgeMs - age that the stream is known to have, in milliseconds
 */
export function reachableLifeMs(
  request: Pick<GatewayRequest, 'binding'>,
  provenAgeMs: number,
): number {
  return Math.min(MAX_LIFE_MS, provenAgeMs + callerLimitMs(request));
}

/**
 * Returns the age up to which a stream may be continued.
 *
 * @param lifeMs - life of the stream within the time limits of its caller, in milliseconds
 */
export function maxStreamAgeMs(lifeMs: number): number {
  return lifeMs + CALLER_RETURN_MS;
}
