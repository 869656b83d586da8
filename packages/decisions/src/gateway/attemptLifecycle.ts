import type { GatewayAttempt, GatewayRequest } from './BackendLoad.js';
import { FIFO_PRIORITY } from './BackendLoad.js';
import { recordCrashEvidence } from './crashes/recordCrashEvidence.js';
import type { GatewayBoard } from './GatewayBoard.js';
import { estimatesOf } from './GatewayBoard.js';
import { recordFirstEvent } from './shares/holdBack.js';
import { updateReplicaHealth } from './updateReplicaHealth.js';
import type { PlacedCandidate } from './placement/PlacementPolicy.js';
import type { Urgency } from './placement/serviceRank.js';
import { requestRank } from './requestRank.js';
import type { AttemptResult } from './recovery/AttemptResult.js';

/** Smoothing factor of the mean answer time of a plain service. */
const ANSWER_WEIGHT = 0.05;

function urgencyOf(number: number, isDeferred: boolean): Urgency {
  if (isDeferred) {
    return 'deferred';
  }
  return number > 1 ? 'resumed' : 'new';
}

/**
 * Records that a request is being sent to a replica.
 *
 * @param board - the blackboard
 * @param request - the request
 * @param placed - the chosen replica
 * @param numbers - number of the attempt, and its number among those sent
 * @returns the attempt
 */
export function beginAttempt(
  board: GatewayBoard,
  request: GatewayRequest,
  placed: PlacedCandidate,
  { number, sentNumber }: Pick<GatewayAttempt, 'number' | 'sentNumber'>,
): GatewayAttempt {
  const { load, unreadTokens, tokensAhead, fetch, isDeferred, predictedMs } =
    placed;
  const attempt: GatewayAttempt = {
    request,
    load,
    softwareVersion: load.replica.softwareVersion,
    number,
    sentNumber,
    sentMs: board.clock(),
    unreadTokens,
    tokensAhead,
    isDeferred,
    rank: requestRank(board, request, urgencyOf(number, isDeferred)),
    fetch,
    predictedMs,
    pieces: 0,
    overtaken: 0,
    firstByteMs: null,
    lastByteMs: null,
  };
  load.attempts.add(attempt);
  board.crashes.parts.onSent(request);
  board.limits.take(load);
  load.health.onSent();
  if (request.prompt) {
    load.cacheEstimate.onRead(request.prompt.parts);
    board.demand.onRequest(request.route.id, unreadTokens);
  }
  return attempt;
}

/**
 * Records the wait of a deferred request, which also depends on requests that
 * arrive later and are served before it. It does not count towards the estimates
 * for other requests.
 */
function learnDeferredWait(
  board: GatewayBoard,
  attempt: GatewayAttempt,
  tookMs: number,
): void {
  const { service, priority } = attempt.request;
  const { engine } = estimatesOf(board, service.id);
  const aheadMs = attempt.tokensAhead / engine.queueTokensPerMs(priority);
  const factor = board.speeds.factorOf(attempt.load);
  engine.onDeferredWait(priority, tookMs / factor, aheadMs + engine.baseMs);
}

/**
 * Counts a request that has started to run towards usage.
 *
 * A plain service starts a request soon after it is sent; for an engine, the
 * first event shows that it has started.
 */
function countStartedRequest(
  { duties, clock }: GatewayBoard,
  attempt: GatewayAttempt,
): void {
  if (!duties) {
    return;
  }
  const { request, sentMs } = attempt;
  const agoMs = request.service.engine ? 0 : clock() - sentMs;
  duties.usage.onStarted(request, duties.fleetClock.nowMs - agoMs);
}

/**
 * Records that bytes of an answer arrived, and updates estimates on the first.
 *
 * @param board - the blackboard
 * @param attempt - the attempt that they answer
 * @param hasRun - whether the answer is marked as coming from a run of the
 *   request. An unmarked answer may come from another replica that took over the
 *   address, and says nothing about the addressed one.
 */
export function recordBytes(
  board: GatewayBoard,
  attempt: GatewayAttempt,
  hasRun: boolean,
): void {
  const nowMs = board.clock();
  attempt.load.lastByteMs = nowMs;
  if (hasRun && !board.crashes.isEmpty) {
    board.crashes.onBytes(attempt.load.replica);
  }
  if (attempt.lastByteMs !== null) {
    const pauseMs = nowMs - attempt.lastByteMs;
    attempt.load.onEventInterval(pauseMs);
    // Parts of the answer of a plain service arrive at no particular pace.
    if (attempt.request.service.engine) {
      board.speeds.onInterval(attempt.load, attempt.request.route.id, pauseMs);
    }
  }
  attempt.lastByteMs = nowMs;
  attempt.pieces += 1;
  if (attempt.firstByteMs !== null) {
    return;
  }
  attempt.firstByteMs = nowMs;
  if (hasRun) {
    countStartedRequest(board, attempt);
  }
  attempt.load.onFirstByte(attempt);
  recordFirstEvent(board, attempt);
  const { request, load, predictedMs, tokensAhead, sentMs } = attempt;
  const tookMs = nowMs - sentMs;
  const copyMs = attempt.fetch?.copyMs ?? 0;
  if (attempt.isDeferred) {
    learnDeferredWait(board, attempt, tookMs);
    return;
  }
  if (request.service.engine) {
    const { engine } = estimatesOf(board, request.service.id);
    // The estimates are those of a replica of usual speed.
    const usualMs = (tookMs - copyMs) / board.speeds.factorOf(load);
    engine.onFirstEvent(request.priority, tokensAhead, usualMs);
    const expectedMs = Math.max(predictedMs, engine.baseMs);
    load.onDuration(request.priority, tookMs, expectedMs);
  }
}

/** Records how an attempt ended, and updates estimates. */
export function recordEnd(
  board: GatewayBoard,
  attempt: GatewayAttempt,
  result: AttemptResult,
): void {
  const { load, request } = attempt;
  load.attempts.delete(attempt);
  if (result.kind === 'unsent') {
    board.limits.refund(load);
  }
  if (result.kind === 'notRun') {
    load.onRejected();
  }
  if (request.prompt) {
    board.demand.onEnded(request.route.id);
  }
  if (result.kind === 'answered') {
    board.lengths.onEnded(request.route.id, attempt.pieces);
  }
  if (attempt.isDeferred && attempt.firstByteMs === null) {
    learnDeferredWait(board, attempt, board.clock() - attempt.sentMs);
  }
  // If the answer of a plain service was lost, the request has most likely run.
  if (result.kind === 'lost' && !request.service.engine) {
    countStartedRequest(board, attempt);
  }
  updateReplicaHealth(board, attempt, result);
  recordCrashEvidence(board, attempt, result);
  if (attempt.number > 1 && result.kind !== 'withdrawn') {
    const answered = result.kind === 'answered';
    board.retryGain.onRetried(request.route.id, answered);
  }
  if (result.kind === 'answered' && !request.service.engine) {
    const estimates = estimatesOf(board, request.service.id);
    const tookMs = board.clock() - attempt.sentMs;
    const factor = board.speeds.factorOf(load);
    estimates.answerMs +=
      ANSWER_WEIGHT * (tookMs / factor - estimates.answerMs);
    // Placement multiplies the ratio by the stated slowdown. Expecting the slowdown here
    // keeps a true one from counting twice, and lets answers outweigh a false one.
    const expectedMs = estimates.answerMs * factor * load.slowdown;
    load.onDuration(FIFO_PRIORITY, tookMs, expectedMs);
    board.speeds.onAnswer(load, tookMs);
  }
}
