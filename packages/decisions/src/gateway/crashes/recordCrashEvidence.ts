import type { GatewayAttempt } from '../BackendLoad.js';
import type { GatewayBoard } from '../GatewayBoard.js';
import type { AttemptResult } from '../recovery/AttemptResult.js';

/**
 * Time from first to last byte after which a request is not suspected of a
 * crash: a request that crashes its replica does so soon after it begins to
 * run.
 */
const CRASH_WINDOW_MS = 1000;
const MIN_ERROR_STATUS = 400;

/**
 * Whether an attempt ended because its replica's run ended, as far as this
 * instance can tell.
 */
function endedWithReplica(
  board: GatewayBoard,
  { load }: GatewayAttempt,
  result: AttemptResult,
): boolean {
  if (result.kind === 'withdrawn') {
    return result.reason === 'replicaRestarted';
  }
  // A replica that leaves as planned cuts requests that still run there without
  // a crash, and one that sends bytes that are no response has not crashed.
  return (
    result.kind === 'lost' &&
    result.isInvalid !== true &&
    board.replicas.find(load.replica.id)?.leaving === false
  );
}

/**
 * Time between the first and the last byte of an answer, in milliseconds; 0 if
 * no byte came.
 */
function answeringMs({ firstByteMs, lastByteMs }: GatewayAttempt): number {
  return firstByteMs === null || lastByteMs === null
    ? 0
    : lastByteMs - firstByteMs;
}

type Answer = Extract<AttemptResult, { kind: 'answered' }>;

/**
 * Whether the replica wrote an answer. It may reject a request with a status of 4xx
 * before it begins to run it.
 */
function isSuccess(result: AttemptResult): result is Answer {
  return result.kind === 'answered' && result.status < MIN_ERROR_STATUS;
}

/**
 * Whether an attempt may have crashed its replica.
 *
 * @param board - the blackboard
 * @param attempt - the attempt that has just ended
 * @param result - how it ended
 */
export function isCrashSuspect(
  board: GatewayBoard,
  attempt: GatewayAttempt,
  result: AttemptResult,
): boolean {
  return (
    endedWithReplica(board, attempt, result) &&
    answeringMs(attempt) < CRASH_WINDOW_MS
  );
}

/**
 * Records what the end of an attempt says about crashes.
 *
 * @param board - the blackboard
 * @param attempt - the attempt that has just ended
 * @param result - how it ended
 */
export function recordCrashEvidence(
  board: GatewayBoard,
  attempt: GatewayAttempt,
  result: AttemptResult,
): void {
  const { request, load } = attempt;
  if (isSuccess(result)) {
    const suspect = {
      content: request.fingerprint(),
      parts: request.partKeys(),
    };
    if (result.framing === 'selfDelimited') {
      board.crashes.onServed(suspect.content, suspect.parts);
    } else {
      board.crashes.onUnproven(load.replica, suspect);
    }
    return;
  }
  if (isCrashSuspect(board, attempt, result)) {
    board.crashes.onLost(
      load.replica,
      request.fingerprint(),
      request.partKeys(),
    );
  }
}
