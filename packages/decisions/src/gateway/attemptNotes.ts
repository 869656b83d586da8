import type { GatewayAttempt, GatewayRequest } from './BackendLoad.js';
import { ONE_QUEUE } from './BackendLoad.js';
import { noteCrash } from './crashes/noteCrash.js';
import type { GatewayBoard } from './GatewayBoard.js';
import { learningOf } from './GatewayBoard.js';
import { judgeReplica } from './judgeReplica.js';
import type { PlacedCandidate } from './placement/PlacementPolicy.js';
import type { Urgency } from './placement/serviceRank.js';
import { requestRank } from './requestRank.js';
import type { AttemptResult } from './recovery/AttemptResult.js';

/** Weight of the newest answer in the mean time of a plain service. */
const ANSWER_WEIGHT = 0.05;

function urgencyOf(number: number, isDeferred: boolean): Urgency {
  if (isDeferred) {
    return 'deferred';
  }
  return number > 1 ? 'resumed' : 'new';
}

/**
 * Notes that a request is being sent to a replica.
 *
 * @param board - the blackboard
 * @param request - the request
 * @param placed - where it goes
 * @param numbers - of the attempt
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
  board.limits.take(load);
  load.health.onSent();
  if (request.prompt) {
    load.memory.onRead(request.prompt.parts);
    board.demand.onRequest(request.route.id, unreadTokens);
  }
  return attempt;
}

/** How long a deferred request waits depends on what comes after it. */
function learnDeferred(
  board: GatewayBoard,
  attempt: GatewayAttempt,
  tookMs: number,
): void {
  const { service, priority } = attempt.request;
  const { engine } = learningOf(board, service.id);
  const aheadMs = attempt.tokensAhead / engine.queueTokensPerMs(priority);
  engine.onDeferred(priority, tookMs, aheadMs + engine.baseMs);
}

/**
 * Counts a request that began to run.
 *
 * A plain service begins with a request soon after it came; what an engine begins is
 * seen by its first event.
 */
function noteBegan(
  { duties, clock }: GatewayBoard,
  attempt: GatewayAttempt,
): void {
  if (!duties) {
    return;
  }
  const { request, sentMs } = attempt;
  const agoMs = request.service.engine ? 0 : clock() - sentMs;
  duties.usage.onBegan(request, duties.fleetClock.nowMs - agoMs);
}

/**
 * Notes bytes of an answer, and learns from the first.
 *
 * @param board - the blackboard
 * @param attempt - that they answer
 * @param hasRun - whether the answer bears the mark of a run; another replica that
 *   took over the address answers as well, and says nothing of the one before
 */
export function noteBytes(
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
    attempt.load.onPause(nowMs - attempt.lastByteMs);
  }
  attempt.lastByteMs = nowMs;
  attempt.pieces += 1;
  if (attempt.firstByteMs !== null) {
    return;
  }
  attempt.firstByteMs = nowMs;
  if (hasRun) {
    noteBegan(board, attempt);
  }
  attempt.load.onFirstByte(attempt);
  const { request, load, predictedMs, tokensAhead, sentMs } = attempt;
  const tookMs = nowMs - sentMs;
  const copyMs = attempt.fetch?.tookMs ?? 0;
  if (attempt.isDeferred) {
    learnDeferred(board, attempt, tookMs);
    return;
  }
  if (request.service.engine) {
    const { engine } = learningOf(board, request.service.id);
    engine.onFirstEvent(request.priority, tokensAhead, tookMs - copyMs);
    const expectedMs = Math.max(predictedMs, engine.baseMs);
    load.onDuration(request.priority, tookMs, expectedMs);
  }
}

/** Notes how an attempt ended, and learns from it. */
export function noteEnd(
  board: GatewayBoard,
  attempt: GatewayAttempt,
  result: AttemptResult,
): void {
  const { load, request } = attempt;
  load.attempts.delete(attempt);
  if (result.kind === 'unsent') {
    board.limits.giveBack(load);
  }
  if (request.prompt) {
    board.demand.onEnded(request.route.id);
  }
  if (result.kind === 'answered') {
    board.lengths.onEnded(request.route.id, attempt.pieces);
  }
  if (attempt.isDeferred && attempt.firstByteMs === null) {
    learnDeferred(board, attempt, board.clock() - attempt.sentMs);
  }
  // What a plain service lost the answer of has run, most likely.
  if (result.kind === 'lost' && !request.service.engine) {
    noteBegan(board, attempt);
  }
  judgeReplica(board, attempt, result);
  noteCrash(board, attempt, result);
  if (attempt.number > 1 && result.kind !== 'withdrawn') {
    const answered = result.kind === 'answered';
    board.retryGain.onRetried(request.route.id, answered);
  }
  if (result.kind === 'answered' && !request.service.engine) {
    const learning = learningOf(board, request.service.id);
    const tookMs = board.clock() - attempt.sentMs;
    learning.answerMs += ANSWER_WEIGHT * (tookMs - learning.answerMs);
    load.onDuration(ONE_QUEUE, tookMs, learning.answerMs);
  }
}
