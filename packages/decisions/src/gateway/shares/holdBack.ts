import type { GatewayAttempt, GatewayRequest } from '../BackendLoad.js';
import type { GatewayBoard } from '../GatewayBoard.js';
import type { PlacedCandidate } from '../placement/PlacementPolicy.js';
import { promptSizeAllowanceMs } from '../promptSizeAllowanceMs.js';
import type { OrganisationShare } from './divideCapacity.js';
import { workOf } from './workOf.js';

/** A request that is refused since it is beyond its organisation's share. */
export interface HeldBack {
  readonly share: OrganisationShare;
  /** Time after which the caller should retry, in milliseconds. */
  readonly retryAfterMs: number;
}

/**
 * Share of the latency target from which a predicted first event counts as a
 * lack of capacity. When predictions reach the whole target, what has been
 * accepted by then makes requests late for seconds.
 */
const SHORT_SHARE = 0.5;
/** Retry delay for a use of twice the share, in milliseconds. */
const RETRY_MS = 1000;
const MIN_RETRY_MS = 300;
/**
 * Largest retry delay as a share of the remaining time; callers that are asked
 * to wait longer don't comply.
 */
const MAX_RETRY_SHARE = 0.32;

/** Whether the prediction for a request shows that capacity is short. */
function meetsShortage(
  board: GatewayBoard,
  request: GatewayRequest,
  best: PlacedCandidate,
): boolean {
  const { route, service, arrivedMs } = request;
  const waitedMs = board.clock() - arrivedMs;
  // The usual time of a plain service may be close to its target.
  const boundMs = service.engine
    ? SHORT_SHARE * route.latencyTargetMs +
      promptSizeAllowanceMs(board, request, best)
    : route.latencyTargetMs;
  return waitedMs + best.predictedMs > boundMs;
}

function retryAfterMs(
  { clock, random }: GatewayBoard,
  { deadlineMs }: GatewayRequest,
  { usePerS, sharePerS }: OrganisationShare,
): number {
  const excess = usePerS / Math.max(1, sharePerS) - 1;
  const jitteredMs = RETRY_MS * excess * (0.5 + random());
  const maxMs = MAX_RETRY_SHARE * (deadlineMs - clock());
  return Math.min(maxMs, Math.max(MIN_RETRY_MS, jitteredMs));
}

/**
 * Records a request at its first placement, and decides whether it is refused
 * since it is beyond its organisation's share of a short capacity.
 *
 * @param board - the blackboard
 * @param request - the request
 * @param best - its best candidate
 * @returns why it is held back, with a retry delay that grows with the excess;
 *   null if it is subject to the usual admission
 */
export function holdBack(
  board: GatewayBoard,
  request: GatewayRequest,
  best: PlacedCandidate,
): HeldBack | null {
  const { shares } = board;
  if (!shares) {
    return null;
  }
  if (meetsShortage(board, request, best)) {
    shares.onShort(request);
  }
  const share = shares.onOffered(request, workOf(board, request, best));
  return share && { share, retryAfterMs: retryAfterMs(board, request, share) };
}

/**
 * Records how a request that was not held back was decided.
 *
 * @param board - the blackboard
 * @param request - the request
 * @param placed - the candidate that gets it; null if it is refused
 */
export function recordAdmission(
  board: GatewayBoard,
  request: GatewayRequest,
  placed: PlacedCandidate | null,
): void {
  const { shares } = board;
  if (!shares) {
    return;
  }
  if (placed && !meetsShortage(board, request, placed)) {
    shares.onSentOnTime(request, workOf(board, request, placed));
  } else {
    shares.onShort(request);
  }
}

/**
 * Records the first event of an answer. A late one shows that capacity is
 * short, also where predictions were too low to show it.
 *
 * @param board - the blackboard
 * @param attempt - the attempt, whose first event has just arrived
 */
export function recordFirstEvent(
  board: GatewayBoard,
  attempt: GatewayAttempt,
): void {
  const { shares } = board;
  const { request, number, sentMs, predictedMs } = attempt;
  const { arrivedMs, route } = request;
  if (!shares || number > 1) {
    return;
  }
  if (board.clock() - arrivedMs <= route.latencyTargetMs) {
    return;
  }
  shares.onShort(request);
  const wasOnTime =
    sentMs - arrivedMs + predictedMs <= SHORT_SHARE * route.latencyTargetMs;
  if (wasOnTime) {
    shares.onSentOnTime(request, -workOf(board, request, attempt));
  }
}
