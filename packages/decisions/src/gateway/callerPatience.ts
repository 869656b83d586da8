import type { Route } from '@jujubecroft/types';

/** Shortest time that callers wait for an event. */
const MIN_PATIENCE_MS = 2000;
/**
 * Time that callers wait, as multiples of the targets for the first event and
 * for the gap between events.
 */
const LATENCY_TARGET_MULTIPLE = 4;
const GAP_TARGET_MULTIPLE = 8;

/**
 * Returns how long callers of a route wait for the next event before they
 * leave.
 *
 * @param route - route whose targets determine the time
 * @returns the time in milliseconds, as specified by the users' platform
 */
export function callerPatienceMs({
  latencyTargetMs,
  gapTargetMs,
}: Route): number {
  return Math.max(
    MIN_PATIENCE_MS,
    LATENCY_TARGET_MULTIPLE * latencyTargetMs,
    GAP_TARGET_MULTIPLE * gapTargetMs,
  );
}
