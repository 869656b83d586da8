import type { BackendLoad, GatewayAttempt } from './BackendLoad.js';
import type { GatewayBoard } from './GatewayBoard.js';
import { candidatesOf } from './GatewayBoard.js';
import type { AttemptResult } from './recovery/AttemptResult.js';
import { isOvertaken } from './usableCandidates.js';

/** The median share of failures among the other replicas of the service. */
function usualFailures(board: GatewayBoard, { replica }: BackendLoad): number {
  const shares = candidatesOf(board, replica.service)
    .filter(load => load.replica.id !== replica.id)
    .map(({ health }) => health.failureShare)
    .sort((a, b) => a - b);
  return shares[Math.floor(shares.length / 2)] ?? 0;
}

/**
 * Whether an attempt that was given up says nothing of its replica.
 *
 * A caller that leaves does not, unless its answer was lost there.
 */
function isNeutral(
  board: GatewayBoard,
  attempt: GatewayAttempt,
  result: AttemptResult,
): boolean {
  return (
    result.kind === 'withdrawn' &&
    result.reason === 'callerLeft' &&
    !isOvertaken(board, attempt)
  );
}

/**
 * Takes the end of an attempt into the health of its replica.
 *
 * @param board - knows the other replicas of the service
 * @param attempt - that has just ended
 * @param result - how it ended
 */
export function judgeReplica(
  board: GatewayBoard,
  attempt: GatewayAttempt,
  result: AttemptResult,
): void {
  const { load } = attempt;
  if (result.kind === 'answered') {
    load.health.onSuccess();
    return;
  }
  if (isNeutral(board, attempt, result)) {
    load.health.onNeutral();
    return;
  }
  load.health.onFailure(usualFailures(board, load));
}
