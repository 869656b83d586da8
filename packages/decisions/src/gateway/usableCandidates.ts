import type {
  BackendLoad,
  GatewayAttempt,
  GatewayRequest,
} from './BackendLoad.js';
import type { GatewayBoard } from './GatewayBoard.js';
import { isOnLostPath } from './paths/isOnLostPath.js';
import { isIdempotent } from './recovery/decideRecovery.js';

/**
 * Share of a replica's connection limit that all instances together use. The
 * remainder covers instances that temporarily see fewer peers than exist.
 */
const USED_CONNECTION_SHARE = 0.8;
/**
 * Number of connections that an instance may always open to a replica, however
 * many instances share it.
 */
const MIN_CONNECTIONS = 2;
/**
 * Time without any byte after which a replica with requests of this instance
 * counts as unresponsive. Engines send an event to each stream several times a
 * second.
 */
export const SILENCE_TIMEOUT_MS = 700;
/** Time-out for the first byte, as a multiple of the prediction. */
export const PREDICTION_MULTIPLE = 2.5;
/**
 * Number of later attempts answered first after which an answer may count as
 * lost.
 */
const MIN_OVERTAKEN = 3;
/** Shortest time without a first byte after which an answer counts as lost. */
const MIN_LOST_ANSWER_MS = 800;
/**
 * Number of simultaneously lost answers from which a replica gets no new
 * requests.
 */
const MIN_LOST_ANSWERS = 2;

/**
 * Returns how many connections this instance may open to one replica.
 *
 * @param board - blackboard that provides the number of instances
 * @param request - request for the replica's service
 * @returns the number of connections, at least two
 */
export function connectionShare(
  board: GatewayBoard,
  { service }: Pick<GatewayRequest, 'service'>,
): number {
  // The request may belong to an earlier configuration, whose limit is outdated.
  const { maxConnections } = board.table?.service(service.id) ?? service;
  const share = (USED_CONNECTION_SHARE * maxConnections) / board.instances;
  return Math.max(MIN_CONNECTIONS, Math.floor(share));
}

/**
 * Whether the answer to an attempt seems to be lost.
 *
 * Some faulty replicas run requests but lose some of the answers without
 * closing the connection. They keep answering other requests, so they look
 * responsive. This is detected by attempts without a first byte while several
 * later ones have theirs.
 *
 * @param board - the blackboard
 * @param attempt - an attempt that has not ended or is just ending
 * @returns true only if the first byte is also well overdue against its
 *   prediction
 */
export function isAnswerLost(
  board: GatewayBoard,
  attempt: GatewayAttempt,
): boolean {
  const { firstByteMs, overtaken, sentMs, predictedMs } = attempt;
  const timeoutMs = Math.max(
    MIN_LOST_ANSWER_MS,
    PREDICTION_MULTIPLE * predictedMs,
  );
  return (
    firstByteMs === null &&
    overtaken >= MIN_OVERTAKEN &&
    board.clock() - sentMs > timeoutMs
  );
}

/** Whether a replica seems to lose answers. */
function losesAnswers(board: GatewayBoard, load: BackendLoad): boolean {
  if (load.inFlight < MIN_LOST_ANSWERS) {
    return false;
  }
  let lost = 0;
  load.attempts.forEach(attempt => {
    const isLost =
      !isOnLostPath(board, attempt) && isAnswerLost(board, attempt);
    lost += isLost ? 1 : 0;
  });
  return lost >= MIN_LOST_ANSWERS;
}

/**
 * Whether a replica has not sent anything for too long while it has requests of
 * this instance.
 *
 * @param board - the blackboard
 * @param load - load of the replica
 */
export function isUnresponsive(
  board: GatewayBoard,
  load: BackendLoad,
): boolean {
  if (load.inFlight === 0) {
    return false;
  }
  const nowMs = board.clock();
  return [...load.attempts].some(attempt => {
    if (isOnLostPath(board, attempt)) {
      return false;
    }
    const sinceMs = Math.max(load.lastByteMs, attempt.sentMs);
    const timeoutMs =
      attempt.firstByteMs === null
        ? Math.max(
            SILENCE_TIMEOUT_MS,
            PREDICTION_MULTIPLE * attempt.predictedMs,
          )
        : SILENCE_TIMEOUT_MS;
    return nowMs - sinceMs > timeoutMs;
  });
}

/**
 * Whether a replica accepts a request of this instance now, by its own
 * statements: it requested no pause and its limit is not used up.
 *
 * Unlike doubts about its health, these leave no exception.
 */
export function accepts(
  { limits, pauses }: GatewayBoard,
  load: BackendLoad,
  { priority }: GatewayRequest,
): boolean {
  return !pauses.isPaused(load.replica) && limits.mayTake(load, priority);
}

/**
 * Selects the candidates that may get a request, preferring healthy ones.
 *
 * A replica may be dead while its entry still exists; this instance only sees
 * that it is unresponsive or fails. If no healthy replica is left, a doubtful
 * one is better than a rejection.
 *
 * @param board - the blackboard
 * @param request - the request to place
 * @param candidates - replicas of its service
 * @returns the candidates to choose from
 */
export function usableCandidates(
  board: GatewayBoard,
  request: GatewayRequest,
  candidates: readonly BackendLoad[],
): readonly BackendLoad[] {
  const share = connectionShare(board, request);
  const open: BackendLoad[] = [];
  const responsive: BackendLoad[] = [];
  const good: BackendLoad[] = [];
  const probes: BackendLoad[] = [];
  candidates.forEach(load => {
    if (load.inFlight >= share || !accepts(board, load, request)) {
      return;
    }
    open.push(load);
    if (isUnresponsive(board, load) || losesAnswers(board, load)) {
      return;
    }
    responsive.push(load);
    const { verdict } = load.health;
    if (verdict === 'good') {
      good.push(load);
    } else if (verdict === 'probe') {
      probes.push(load);
    }
  });
  // Idempotent requests are used to probe whether a replica has recovered.
  if (probes.length > 0 && isIdempotent(request.route)) {
    return [...good, ...probes];
  }
  if (good.length > 0) {
    return good;
  }
  if (probes.length > 0) {
    return probes;
  }
  return responsive.length > 0 ? responsive : open;
}
