import type { GatewayAttempt } from '../BackendLoad.js';
import type { GatewayBoard } from '../GatewayBoard.js';
import { isLaterRun } from '../replicaRuns.js';
import { SILENCE_TIMEOUT_MS } from '../usableCandidates.js';

/** Whether bytes of an answer have arrived lately, which shows that its run goes on. */
function isBeingAnswered(
  { clock }: GatewayBoard,
  { lastByteMs }: GatewayAttempt,
): boolean {
  return lastByteMs !== null && clock() - lastByteMs <= SILENCE_TIMEOUT_MS;
}

/**
 * Returns the attempts on runs that have since been superseded by a restart, and takes
 * them off the blackboard.
 *
 * They would otherwise wait for answers that can no longer arrive: a replica that crashes
 * without closing its connections leaves them open, and since it answers other requests
 * after the restart it does not look unresponsive.
 *
 * An entry that shows a restart may have been written by another program. An attempt that
 * is being answered belongs to a run that goes on, whatever the entry says, and is returned
 * only once it falls silent.
 *
 * @param board - the blackboard
 */
export function takeOrphanedAttempts(
  board: GatewayBoard,
): readonly GatewayAttempt[] {
  const { supersededRuns } = board;
  const orphans = [...supersededRuns].flatMap(({ attempts }) =>
    [...attempts].filter(attempt => !isBeingAnswered(board, attempt)),
  );
  [...supersededRuns]
    .filter(({ attempts }) =>
      [...attempts].every(attempt => !isBeingAnswered(board, attempt)),
    )
    .forEach(load => {
      supersededRuns.delete(load);
    });
  return orphans;
}

/**
 * Whether the run of an attempt has certainly ended: the entry of its replica states a
 * later start.
 *
 * Another software version shows a restart as well, but a program that overwrites the entry
 * by mistake may have written it. The system closes the connections of a process that ends,
 * so such an attempt loses little if it stays where it is.
 *
 * @param board - the blackboard
 * @param attempt - an attempt on a run that seems to be superseded
 */
export function hasRunEnded(
  { replicas }: GatewayBoard,
  { load: { replica } }: GatewayAttempt,
): boolean {
  const now = replicas.find(replica.id);
  return now !== undefined && isLaterRun(now, replica);
}
