import type { Route } from '@jujubecroft/types';

/** A caller waits for a first event or the next one at least so long. */
const MIN_PATIENCE_MS = 2000;
/** The same as a multiple of the target for the first event, and of that for pauses. */
const TARGETS_OF_PATIENCE = 4;
const PAUSES_OF_PATIENCE = 8;

/**
 * How long callers of a route wait for the next event before they leave.
 *
 * @param route - tells the targets that their patience follows
 * @returns the longest wait, in milliseconds, as the users' platform states it
 */
export function callerPatienceMs({
  latencyTargetMs,
  gapTargetMs,
}: Route): number {
  return Math.max(
    MIN_PATIENCE_MS,
    TARGETS_OF_PATIENCE * latencyTargetMs,
    PAUSES_OF_PATIENCE * gapTargetMs,
  );
}
