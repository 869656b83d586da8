import type { GatewayRequest, Resumption } from '@jujubecroft/decisions';

/** Time within which a caller continues a stream after its time limit, in milliseconds. */
const CALLER_RETURN_MS = 5000;
/** Difference by which a caller's clock and the way of its requests may shift its time limit. */
const TIME_LIMIT_SLACK_MS = 1000;
/**
 * Longest time limit of a caller that is believed, and that is assumed of callers that state
 * none, in milliseconds.
 */
const MAX_LIMIT_MS = 3_600_000;

/**
 * Returns the time limit of a caller. The time limit of its route doesn't bound the time for
 * which it may continue a stream.
 *
 * @param request - a request for a stream
 * @returns milliseconds from its first request on
 */
export function callerLimitMs({
  binding,
}: Pick<GatewayRequest, 'binding'>): number {
  return Math.min(MAX_LIMIT_MS, binding?.callerLimitMs ?? MAX_LIMIT_MS);
}

/**
 * Returns the time after its first event in which a stream may be continued.
 *
 * @param limitMs - time limit of the caller, in milliseconds
 */
export function streamLifeMs(limitMs: number): number {
  return limitMs + CALLER_RETURN_MS;
}

/**
 * Returns the longest time since the first event of a stream that a request continues.
 *
 * The time limit of a caller counts from its first request, so that the part that has passed
 * bounds the age.
 *
 * @param resumption - what the caller states
 * @param longestLimitMs - longest time limit of any caller, in milliseconds
 * @returns milliseconds
 */
export function maxStreamAgeMs(
  { timeLeftMs }: Resumption,
  longestLimitMs: number,
): number {
  return timeLeftMs === null
    ? streamLifeMs(longestLimitMs)
    : Math.max(0, longestLimitMs - timeLeftMs) + TIME_LIMIT_SLACK_MS;
}
