import type { BackendLoad, GatewayAttempt } from './BackendLoad.js';
import type { GatewayBoard } from './GatewayBoard.js';
import { candidatesOf } from './GatewayBoard.js';
import { isOnLostPath } from './paths/isOnLostPath.js';
import type { AttemptResult } from './recovery/AttemptResult.js';
import { isAnswerLost } from './usableCandidates.js';

/** Returns the median failure share of the service's other replicas. */
function medianFailureShare(
  board: GatewayBoard,
  { replica }: BackendLoad,
): number {
  const shares = candidatesOf(board, replica.service)
    .filter(load => load.replica.id !== replica.id)
    .map(({ health }) => health.failureShare)
    .sort((a, b) => a - b);
  return shares[Math.floor(shares.length / 2)] ?? 0;
}

/**
 * Whether the end of an attempt says nothing about its replica.
 *
 * This holds when the caller leaves, unless the replica seems to have lost the
 * answer, or another replica goes on with the answer first, for requests that a
 * replica rejected or did not get because of a pause that it requested, and for
 * those sent before the path to it was lost.
 */
function isInconclusive(
  board: GatewayBoard,
  attempt: GatewayAttempt,
  result: AttemptResult,
): boolean {
  if (isOnLostPath(board, attempt)) {
    return true;
  }
  if (result.kind === 'notRun' || result.kind === 'unsent') {
    return board.pauses.isPaused(attempt.load.replica);
  }
  return (
    result.kind === 'withdrawn' &&
    (result.reason === 'answeredElsewhere' ||
      (result.reason === 'callerLeft' && !isAnswerLost(board, attempt)))
  );
}

/**
 * Records the end of an attempt in the health of its replica.
 *
 * @param board - blackboard that provides the other replicas of the service
 * @param attempt - the ended attempt
 * @param result - how it ended
 */
export function updateReplicaHealth(
  board: GatewayBoard,
  attempt: GatewayAttempt,
  result: AttemptResult,
): void {
  const { load } = attempt;
  if (result.kind === 'answered') {
    load.health.onSuccess();
    return;
  }
  if (isInconclusive(board, attempt, result)) {
    load.health.releaseProbe();
    return;
  }
  load.health.onFailure(medianFailureShare(board, load));
}
