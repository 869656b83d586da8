import type { BackendServerId, ResultCodeId } from '@jujubecroft/types';

import type {
  GatewayAdmission,
  GatewayVerdict,
} from './admission/GatewayAdmission.js';
import type { BackendLoad, GatewayRequest } from './BackendLoad.js';
import { CAUTIOUS_CRASHES, MAX_CRASHES } from './crashes/CrashLedger.js';
import { crashesOf } from './crashes/crashesOf.js';
import type { CrashedRun } from './crashes/crashNews.js';
import { excusedMs } from './excusedMs.js';
import type { GatewayBoard } from './GatewayBoard.js';
import { candidatesOf } from './GatewayBoard.js';
import type {
  PlacedCandidate,
  PlacementPolicy,
} from './placement/PlacementPolicy.js';
import { isSameRun } from './replicaRuns.js';
import { usableCandidates } from './usableCandidates.js';

/** The policies of the gateway. */
export interface GatewayPolicies {
  /** For services of language models. */
  readonly placePrompt: PlacementPolicy;
  /** For plain services. */
  readonly placeCall: PlacementPolicy;
  readonly admitPrompt: GatewayAdmission;
  readonly admitCall: GatewayAdmission;
}

/** Where a request goes, or why it is turned away. */
export type PlacementDecision =
  | {
      readonly kind: 'send';
      readonly placed: PlacedCandidate;
      readonly candidates: number;
    }
  | {
      readonly kind: 'refuse';
      readonly code: ResultCodeId;
      readonly retryAfterMs: number;
      /** Null where there was no replica to judge. */
      readonly verdict: GatewayVerdict | null;
      /** What would have been best; null where there was nothing. */
      readonly best: PlacedCandidate | null;
      readonly candidates: number;
    };

/** A caller that comes back sooner would find nothing changed. */
const MIN_RETRY_MS = 50;
/** Told when no replica can be used; replicas mostly return within a second. */
const NO_BACKEND_RETRY_MS = 600;
/** When a replica is likely to take the request, in milliseconds. */
function roomInMs(
  { limits }: GatewayBoard,
  { priority }: GatewayRequest,
  candidates: readonly BackendLoad[],
): number {
  const waits = candidates
    .map(load => limits.waitMs(load, priority))
    .filter(waitMs => waitMs > 0 && waitMs < Infinity);
  return waits.length > 0
    ? Math.max(MIN_RETRY_MS, Math.min(...waits))
    : NO_BACKEND_RETRY_MS;
}

/** Refuses what has crashed several replicas; coming back sooner is of no use. */
function refuseCrashing(
  { crashes }: GatewayBoard,
  request: GatewayRequest,
): PlacementDecision {
  return {
    kind: 'refuse',
    code: 'crashesBackends',
    retryAfterMs: crashes.barredForMs(request.fingerprint()),
    verdict: null,
    best: null,
    candidates: 0,
  };
}

/** Keeps a request that may crash its replica to where the least would be lost with it. */
function cautiously(
  usable: readonly BackendLoad[],
  crashed: readonly CrashedRun[],
): readonly BackendLoad[] {
  if (crashed.length < CAUTIOUS_CRASHES) {
    return usable;
  }
  // Entries of runs that crashed stand for a while, and look unused. A run that
  // followed under the same id has crashed with nothing.
  return usable
    .filter(
      ({ replica }) =>
        !crashed.some(run => run.id === replica.id && isSameRun(run, replica)),
    )
    .sort((a, b) => a.totalInFlight - b.totalInFlight)
    .slice(0, 1);
}

/** Candidates for a request, once more as a deferred one where it is late anyway. */
function rankCandidates(
  board: GatewayBoard,
  place: PlacementPolicy,
  request: GatewayRequest,
  usable: readonly BackendLoad[],
): readonly PlacedCandidate[] {
  const ranked = place(request, usable, false);
  const [best] = ranked;
  if (!best || !request.service.engine) {
    return ranked;
  }
  const spentMs = board.clock() - request.arrivedMs;
  const dueMs = request.route.latencyTargetMs + excusedMs(board, request, best);
  const isLate = spentMs + best.predictedMs > dueMs;
  return isLate ? place(request, usable, true) : ranked;
}

/**
 * Decides where a request goes.
 *
 * @param board - the blackboard
 * @param policies - that rank replicas and let requests in
 * @param request - the request
 * @param tried - replicas that it was sent to before
 */
export function placeRequest(
  board: GatewayBoard,
  policies: GatewayPolicies,
  request: GatewayRequest,
  tried: ReadonlySet<BackendServerId>,
): PlacementDecision {
  const all = candidatesOf(board, request.service.id);
  const untried = all.filter(({ replica }) => !tried.has(replica.id));
  const crashes = crashesOf(board, request);
  if (crashes.length >= MAX_CRASHES) {
    return refuseCrashing(board, request);
  }
  const usable = cautiously(usableCandidates(board, request, untried), crashes);
  const isPrompt = request.service.engine !== null;
  const place = isPrompt ? policies.placePrompt : policies.placeCall;
  const isFirst = tried.size === 0;
  const ranked = isFirst
    ? rankCandidates(board, place, request, usable)
    : place(request, usable, false);
  const [best] = ranked;
  if (!best) {
    return {
      kind: 'refuse',
      code: 'noBackendServer',
      retryAfterMs: roomInMs(board, request, untried),
      verdict: null,
      best: null,
      candidates: 0,
    };
  }
  if (isFirst) {
    board.demand.onAsked(request.route.id, best.unreadTokens);
  }
  const candidates = ranked.length;
  // A request that runs already is not turned away half-way.
  if (!isFirst) {
    return { kind: 'send', placed: best, candidates };
  }
  const admit = isPrompt ? policies.admitPrompt : policies.admitCall;
  const verdict = admit(request, best);
  // The cheapest replica may be the one that would not finish; a request that
  // another would serve is not turned away for it.
  const placed = verdict.admit
    ? best
    : ranked.slice(1).find(other => admit(request, other).admit);
  if (placed) {
    return { kind: 'send', placed, candidates };
  }
  return {
    kind: 'refuse',
    code: 'overloaded',
    retryAfterMs: verdict.retryAfterMs,
    verdict,
    best,
    candidates,
  };
}
