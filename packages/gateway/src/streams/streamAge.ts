import type { Route } from '@jujubecroft/types';

import type { RequestHead } from '../ports/CallerDialect.js';

/** Time within which a caller continues a stream that has ended, in milliseconds. */
const CALLER_RETURN_MS = 5000;
/** Time by which a caller's time limit may exceed the route's, in milliseconds. */
const TIME_LIMIT_SLACK_MS = 1000;

/** Time after its first event in which a stream may be continued, in milliseconds. */
export function streamLifeMs({ timeoutMs }: Route): number {
  return timeoutMs + CALLER_RETURN_MS;
}

/**
 * Returns the longest time since the first event of a stream that a request continues.
 *
 * A caller that doesn't name its first request is taken at its word on the time: its time
 * limit counts from its first attempt, so that the part that has passed bounds the age.
 *
 * @param route - route of the request
 * @param head - head of the request
 * @returns milliseconds
 */
export function maxStreamAgeMs(
  route: Route,
  { firstRequest, timeLeftMs }: RequestHead,
): number {
  return firstRequest === null && timeLeftMs !== null
    ? Math.max(0, route.timeoutMs - timeLeftMs) + TIME_LIMIT_SLACK_MS
    : streamLifeMs(route);
}
