import type { GatewayAttempt } from '../BackendLoad.js';
import { isSuspect } from '../crashes/crashesOf.js';
import type { GatewayBoard } from '../GatewayBoard.js';
import { estimatesOf } from '../GatewayBoard.js';
import { isOnLostPath } from '../paths/isOnLostPath.js';
import type { PlacedCandidate } from '../placement/PlacementPolicy.js';
import type { PlacementDecision } from '../placeRequest.js';
import { candidatesFor } from '../streams/candidatesFor.js';
import {
  accepts,
  isAnswerLost,
  isUnresponsive,
  PREDICTION_MULTIPLE,
  SILENCE_TIMEOUT_MS,
} from '../usableCandidates.js';
import { isIdempotent } from './decideRecovery.js';

/** Time without any byte from a replica before its attempts may be moved. */
const STALL_TIMEOUT_MS = 200;
/** Shortest time-out for the first byte. */
const MIN_FIRST_BYTE_TIMEOUT_MS = 250;
/** Gap in a stream after which it is moved, as a multiple of its target. */
const GAP_TARGET_MULTIPLE = 3;
/** Shortest time left in which another replica could answer at all. */
const MIN_MOVE_TIME_LEFT_MS = 100;

/** Numbers of the next attempt of a request. */
export type AttemptNumbers = Pick<GatewayAttempt, 'number' | 'sentNumber'>;

/** A place and a retry that are held for the next attempt of a request. */
export type ReservedMove = Extract<PlacementDecision, { kind: 'send' }>;

/** Whether another replica could take over the request of an attempt. */
function canMoveElsewhere(
  board: GatewayBoard,
  { request, load, sentNumber }: GatewayAttempt,
): boolean {
  const { route, service, deadlineMs } = request;
  return (
    isIdempotent(route) &&
    sentNumber < route.maxAttempts &&
    deadlineMs - board.clock() > MIN_MOVE_TIME_LEFT_MS &&
    board.budget.left(service.id) >= 1 &&
    !isSuspect(board, request) &&
    candidatesFor(board, request).some(
      other =>
        other !== load &&
        !isUnresponsive(board, other) &&
        accepts(board, other, request),
    )
  );
}

/** Time without a byte of an answer, in milliseconds. */
function silenceMs(
  board: GatewayBoard,
  { sentMs, lastByteMs }: GatewayAttempt,
): number {
  return board.clock() - (lastByteMs ?? sentMs);
}

/** Whether the answer to an attempt is so late that its replica seems dead. */
function isOverdue(board: GatewayBoard, attempt: GatewayAttempt): boolean {
  const { request, load } = attempt;
  const nowMs = board.clock();
  if (isAnswerLost(board, attempt)) {
    return true;
  }
  if (
    !isOnLostPath(board, attempt) &&
    nowMs - load.lastByteMs < STALL_TIMEOUT_MS
  ) {
    return false;
  }
  if (attempt.lastByteMs !== null) {
    const gapTimeoutMs = Math.max(
      SILENCE_TIMEOUT_MS,
      GAP_TARGET_MULTIPLE * request.route.gapTargetMs,
    );
    return silenceMs(board, attempt) > gapTimeoutMs;
  }
  const usualMs = request.service.engine
    ? attempt.predictedMs
    : estimatesOf(board, request.service.id).answerMs *
      board.speeds.factorOf(load);
  const timeoutMs = Math.max(
    MIN_FIRST_BYTE_TIMEOUT_MS,
    PREDICTION_MULTIPLE * usualMs,
  );
  return silenceMs(board, attempt) > timeoutMs;
}

/** Orders attempts by urgency, then by the time that they have left. */
function compareNeed(
  { request: a }: GatewayAttempt,
  { request: b }: GatewayAttempt,
): number {
  return a.priority - b.priority || a.deadlineMs - b.deadlineMs;
}

/**
 * Returns the attempts whose requests should move to another replica, because theirs
 * seems to be dead, disconnected or hanging: the first byte is late or the stream pauses
 * for long, and the replica does not send anything to other requests of this instance
 * either.
 *
 * All attempts at a silent replica are overdue at about the same moment, and they compete
 * for the same retries and places. The most urgent come first, and among these the ones
 * with the least time left: the others can better afford to wait for a replica that may
 * only be silent for a moment.
 *
 * @param board - the blackboard
 * @returns only attempts that may run again. Each was judged by itself; which of them can
 *   move is decided by {@link reserveMove}.
 */
export function findAttemptsToMove(
  board: GatewayBoard,
): readonly GatewayAttempt[] {
  const attempts: GatewayAttempt[] = [];
  [...board.backends.values(), ...board.doubtfulRuns].forEach(load => {
    load.attempts.forEach(attempt => {
      // The first check is cheap and rarely true; the second looks at all replicas.
      if (isOverdue(board, attempt) && canMoveElsewhere(board, attempt)) {
        attempts.push(attempt);
      }
    });
  });
  return attempts.sort(compareNeed);
}

/**
 * Reserves what a request needs to move off a silent replica: a place at a responsive one
 * and a retry.
 *
 * To be called before the attempt is given up. A replica may be silent for a second and
 * go on, so an attempt without such a reservation is best left where it is. The caller
 * begins the next attempt in the same turn, so that its place counts for the next
 * reservation.
 *
 * @param board - the blackboard
 * @param attempt - the attempt at the silent replica
 * @param numbers - numbers of the next attempt
 * @param place - places the request
 * @param mayMoveTo - whether the request may move to a place
 * @returns the place; null if nothing was reserved
 */
export function reserveMove(
  board: GatewayBoard,
  attempt: GatewayAttempt,
  { sentNumber }: AttemptNumbers,
  place: () => PlacementDecision,
  mayMoveTo: (placed: PlacedCandidate) => boolean = () => true,
): ReservedMove | null {
  const { route, service } = attempt.request;
  // A placement looks at all replicas, and each attempt that stays is judged in each check,
  // so it comes last.
  if (sentNumber > route.maxAttempts || !canMoveElsewhere(board, attempt)) {
    return null;
  }
  const decision = place();
  if (
    decision.kind === 'refuse' ||
    decision.placed.load === attempt.load ||
    isUnresponsive(board, decision.placed.load) ||
    !mayMoveTo(decision.placed)
  ) {
    return null;
  }
  return board.budget.take(service.id) ? decision : null;
}
