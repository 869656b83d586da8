import type {
  BackendLoad,
  GatewayAttempt,
  GatewayRequest,
} from './BackendLoad.js';
import { CAUTIOUS_CRASHES } from './crashes/CrashLedger.js';
import { crashesOf } from './crashes/crashesOf.js';
import type { GatewayBoard } from './GatewayBoard.js';
import { candidatesOf, learningOf } from './GatewayBoard.js';
import { isIdempotent } from './recovery/decideRecovery.js';

/**
 * Part of a replica's connection limit that all instances together use. The rest
 * covers instances that count fewer peers than there are, for a moment.
 */
const CONNECTIONS_USED = 0.8;
/** Connections that an instance may have to a replica however many share it. */
const MIN_CONNECTIONS = 2;
/**
 * Time without any byte from a replica that has work of ours, after which it
 * counts as silent. Engines send an event to each stream several times a second.
 */
const SILENT_MS = 700;
/** Time without bytes before an attempt may go on elsewhere. */
const STALLED_MS = 200;
/** Patience with a first byte, as a multiple of the prediction, and at least. */
const PATIENCE = 2.5;
const MIN_PATIENCE_MS = 250;
/** Later attempts that began before an overdue one until its answer counts as lost. */
const OVERTAKEN = 3;
/** Time without a first byte before that, in milliseconds. */
const MIN_OVERDUE_MS = 800;
/** Lost answers at once from which a replica gets nothing more. */
const LOST_ANSWERS = 2;
/** Time that another replica needs to answer at all, in milliseconds. */
const MIN_MOVE_MS = 100;
/** Pause in a stream, as a multiple of its target, after which it is moved. */
const GAP_PATIENCE = 3;

/**
 * How many connections this instance may open to one replica.
 *
 * @param board - knows how many instances share the replica
 * @param request - of the service
 * @returns connections, at least two
 */
export function connectionShare(
  board: GatewayBoard,
  { service }: Pick<GatewayRequest, 'service'>,
): number {
  const share = (CONNECTIONS_USED * service.maxConnections) / board.instances;
  return Math.max(MIN_CONNECTIONS, Math.floor(share));
}

/**
 * Whether the answer to an attempt seems to be lost.
 *
 * Guards against a replica that runs requests and loses some of their answers
 * without a sign: it goes on answering others, so it looks alive. It shows as
 * attempts without a first byte though several later ones have theirs.
 *
 * @param board - the blackboard
 * @param attempt - an attempt that has not ended, or is just ending
 * @returns true once it is well beyond its prediction, too
 */
export function isOvertaken(
  board: GatewayBoard,
  attempt: GatewayAttempt,
): boolean {
  const { firstByteMs, overtaken, sentMs, predictedMs } = attempt;
  const patienceMs = Math.max(MIN_OVERDUE_MS, PATIENCE * predictedMs);
  return (
    firstByteMs === null &&
    overtaken >= OVERTAKEN &&
    board.clock() - sentMs > patienceMs
  );
}

/** Whether a replica loses answers. */
function losesAnswers(board: GatewayBoard, load: BackendLoad): boolean {
  const lost = [...load.attempts].filter(attempt =>
    isOvertaken(board, attempt),
  );
  return lost.length >= LOST_ANSWERS;
}

/** Whether a replica has sent nothing for long though it has work of ours. */
function hasFallenSilent(board: GatewayBoard, load: BackendLoad): boolean {
  const nowMs = board.clock();
  return [...load.attempts].some(attempt => {
    const sinceMs = Math.max(load.lastByteMs, attempt.sentMs);
    const patienceMs =
      attempt.firstByteMs === null
        ? Math.max(SILENT_MS, PATIENCE * attempt.predictedMs)
        : SILENT_MS;
    return nowMs - sinceMs > patienceMs;
  });
}

/**
 * Keeps the candidates that may get a request, the sound ones if there are any.
 *
 * Guards against sending work to a dead replica while its entry still stands:
 * it shows as silence or failures towards this instance alone. With no sound
 * replica left the doubtful ones are better than a refusal.
 *
 * @param board - the blackboard
 * @param request - the request to place
 * @param candidates - replicas of its service
 * @returns those that are worth a try
 */
export function usableCandidates(
  board: GatewayBoard,
  request: GatewayRequest,
  candidates: readonly BackendLoad[],
): readonly BackendLoad[] {
  const share = connectionShare(board, request);
  const open = candidates.filter(
    load =>
      load.inFlight < share && board.limits.mayTake(load, request.priority),
  );
  const speaking = open.filter(
    load => !hasFallenSilent(board, load) && !losesAnswers(board, load),
  );
  const good = speaking.filter(({ health }) => health.verdict === 'good');
  const probes = speaking.filter(({ health }) => health.verdict === 'probe');
  // Whatever may be repeated is used to find out whether a replica is back.
  if (probes.length > 0 && isIdempotent(request.route)) {
    return [...good, ...probes];
  }
  if (good.length > 0) {
    return good;
  }
  if (probes.length > 0) {
    return probes;
  }
  return speaking.length > 0 ? speaking : open;
}

/** Whether a request could go on at another replica if its attempt were given up. */
function canGoElsewhere(
  board: GatewayBoard,
  { request, load, sentNumber }: GatewayAttempt,
): boolean {
  const { route, service, deadlineMs } = request;
  return (
    isIdempotent(route) &&
    sentNumber < route.maxAttempts &&
    deadlineMs - board.clock() > MIN_MOVE_MS &&
    board.budget.left(service.id) >= 1 &&
    crashesOf(board, request).length < CAUTIOUS_CRASHES &&
    candidatesOf(board, service.id).some(
      other =>
        other !== load &&
        !hasFallenSilent(board, other) &&
        board.limits.mayTake(other, request.priority),
    )
  );
}

/**
 * Whether an attempt should be given up and go on elsewhere.
 *
 * Guards against a replica that is dead, cut off or hangs: it shows as a late
 * first byte or a long pause while the replica sends nothing to any other
 * request of this instance either.
 *
 * @param board - the blackboard
 * @param attempt - an attempt that has not ended
 * @returns true only for requests that may run again
 */
export function isSilent(
  board: GatewayBoard,
  attempt: GatewayAttempt,
): boolean {
  const { request, load } = attempt;
  const nowMs = board.clock();
  // Giving up without anywhere to go would only end the answer sooner.
  if (!canGoElsewhere(board, attempt)) {
    return false;
  }
  if (isOvertaken(board, attempt)) {
    return true;
  }
  if (nowMs - load.lastByteMs < STALLED_MS) {
    return false;
  }
  if (attempt.lastByteMs !== null) {
    const gapMs = Math.max(SILENT_MS, GAP_PATIENCE * request.route.gapTargetMs);
    return nowMs - attempt.lastByteMs > gapMs;
  }
  const usualMs = request.service.engine
    ? attempt.predictedMs
    : learningOf(board, request.service.id).answerMs;
  const patienceMs = Math.max(MIN_PATIENCE_MS, PATIENCE * usualMs);
  return nowMs - attempt.sentMs > patienceMs;
}
