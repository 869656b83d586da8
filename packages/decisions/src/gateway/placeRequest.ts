import type { BackendServerId, ResultCodeId } from '@jujubecroft/types';

import type {
  GatewayAdmission,
  GatewayVerdict,
} from './admission/GatewayAdmission.js';
import type { BackendLoad, GatewayRequest } from './BackendLoad.js';
import { barredForMs, suspectedCrashesOf } from './crashes/crashesOf.js';
import type { CrashedRun } from './crashes/crashNews.js';
import { promptSizeAllowanceMs } from './promptSizeAllowanceMs.js';
import type { GatewayBoard } from './GatewayBoard.js';
import { candidatesOf } from './GatewayBoard.js';
import type {
  PlacedCandidate,
  PlacementPolicy,
} from './placement/PlacementPolicy.js';
import { isSameRun } from './replicaRuns.js';
import type { OrganisationShare } from './shares/divideCapacity.js';
import { holdBack, recordAdmission } from './shares/holdBack.js';
import { candidatesFor } from './streams/candidatesFor.js';
import type { StreamBinding } from './streams/StreamBinding.js';
import { usableCandidates } from './usableCandidates.js';

/** Placement and admission policies of the gateway. */
export interface GatewayPolicies {
  /** Places requests for language models. */
  readonly placePrompt: PlacementPolicy;
  /** Places requests for plain services. */
  readonly placeCall: PlacementPolicy;
  readonly admitPrompt: GatewayAdmission;
  readonly admitCall: GatewayAdmission;
}

/** The replica chosen for a request, or why the request is rejected. */
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
      /** Verdict on the best candidate; null if there was none. */
      readonly verdict: GatewayVerdict | null;
      /** The best candidate; null if there was none. */
      readonly best: PlacedCandidate | null;
      readonly candidates: number;
      /** Set if the request is beyond its organisation's share. */
      readonly share?: OrganisationShare;
    };

/** Shortest retry delay; nothing would have changed sooner. */
const MIN_RETRY_AFTER_MS = 50;
/**
 * Retry delay when no replica can be used; most replicas return within a
 * second.
 */
const NO_BACKEND_RETRY_AFTER_MS = 600;

/** Extra wait after a pause for each priority, so that urgent callers return first. */
const PAUSE_PRIORITY_STEP_MS = 50;
const MAX_PAUSE_PRIORITY_MS = 300;

function waitAfterPauseMs(remainingMs: number, priority: number): number {
  return remainingMs > 0
    ? remainingMs +
        Math.min(MAX_PAUSE_PRIORITY_MS, PAUSE_PRIORITY_STEP_MS * priority)
    : 0;
}

/**
 * Returns when a replica is likely to accept the request, in milliseconds from
 * now.
 */
function retryAfterCapacityMs(
  { limits, pauses }: GatewayBoard,
  { priority }: GatewayRequest,
  candidates: readonly BackendLoad[],
): number {
  const waits = candidates
    .map(load =>
      Math.max(
        limits.waitMs(load, priority),
        waitAfterPauseMs(pauses.remainingMs(load.replica), priority),
      ),
    )
    .filter(waitMs => waitMs < Infinity)
    // A replica without a wait has no room at the moment.
    .map(waitMs => (waitMs > 0 ? waitMs : NO_BACKEND_RETRY_AFTER_MS));
  return waits.length > 0
    ? Math.max(MIN_RETRY_AFTER_MS, Math.min(...waits))
    : NO_BACKEND_RETRY_AFTER_MS;
}

/**
 * Rejects a request whose content, or a part of whose prompt, has crashed several
 * replicas, until it may be sent again.
 */
function refuseCrashing(retryAfterMs: number): PlacementDecision {
  return {
    kind: 'refuse',
    code: 'crashesBackends',
    retryAfterMs,
    verdict: null,
    best: null,
    candidates: 0,
  };
}

/**
 * Whether no replica will be able to continue the stream of a request. While its service has
 * no replica at all, as after a crash of all, the next ones may have the version of the stream.
 */
function hasLostVersion(
  board: GatewayBoard,
  { service }: GatewayRequest,
  { version }: StreamBinding,
): boolean {
  return version === null || candidatesOf(board, service.id).length > 0;
}

/**
 * Rejects a request to continue a stream that no replica can continue. The same request
 * is of no use later, since versions that were replaced don't come back.
 */
function refuseContinuation({ version }: StreamBinding): PlacementDecision {
  return {
    kind: 'refuse',
    code: version === null ? 'streamVersionUnknown' : 'streamVersionGone',
    retryAfterMs: 0,
    verdict: null,
    best: null,
    candidates: 0,
  };
}

/**
 * Rejects a request whose time was used up before any replica got it, as when its body
 * took longer to arrive than its route allows. Sent, it could only fail.
 */
function refuseExpired(): PlacementDecision {
  return {
    kind: 'refuse',
    code: 'notSentInTime',
    retryAfterMs: 0,
    verdict: null,
    best: null,
    candidates: 0,
  };
}

/**
 * Restricts a request that may crash its replica to the one with the fewest
 * requests in flight.
 */
function limitCrashExposure(
  usable: readonly BackendLoad[],
  crashed: readonly CrashedRun[],
): readonly BackendLoad[] {
  if (crashed.length === 0) {
    return usable;
  }
  // The entry of a crashed run remains for a while and looks unused. A later
  // run under the same id was not crashed by this request.
  return usable
    .filter(
      ({ replica }) =>
        !crashed.some(run => run.id === replica.id && isSameRun(run, replica)),
    )
    .sort((a, b) => a.totalInFlight - b.totalInFlight)
    .slice(0, 1);
}

/**
 * Ranks the candidates for a request, as a deferred one if it would be late
 * anyway.
 */
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
  const dueMs =
    request.route.latencyTargetMs + promptSizeAllowanceMs(board, request, best);
  const isLate = spentMs + best.predictedMs > dueMs;
  return isLate ? place(request, usable, true) : ranked;
}

/**
 * Decides which replica gets a request.
 *
 * @param board - the blackboard
 * @param policies - policies for placement and admission
 * @param request - the request
 * @param tried - replicas that the request was already sent to
 * @returns the chosen replica, or why the request is rejected
 */
export function placeRequest(
  board: GatewayBoard,
  policies: GatewayPolicies,
  request: GatewayRequest,
  tried: ReadonlySet<BackendServerId>,
): PlacementDecision {
  const all = candidatesFor(board, request);
  const isFirst = tried.size === 0;
  const untried = isFirst
    ? all
    : all.filter(({ replica }) => !tried.has(replica.id));
  const barredMs = barredForMs(board, request);
  if (barredMs !== null) {
    return refuseCrashing(barredMs);
  }
  if (isFirst && request.deadlineMs <= board.clock()) {
    return refuseExpired();
  }
  const { binding } = request;
  if (
    all.length === 0 &&
    binding?.isBound === true &&
    hasLostVersion(board, request, binding)
  ) {
    return refuseContinuation(binding);
  }
  const usable = limitCrashExposure(
    usableCandidates(board, request, untried),
    suspectedCrashesOf(board, request),
  );
  const isPrompt = request.service.engine !== null;
  const place = isPrompt ? policies.placePrompt : policies.placeCall;
  const ranked = isFirst
    ? rankCandidates(board, place, request, usable)
    : place(request, usable, false);
  const [best] = ranked;
  if (!best) {
    return {
      kind: 'refuse',
      code: 'noBackendServer',
      retryAfterMs: retryAfterCapacityMs(board, request, untried),
      verdict: null,
      best: null,
      candidates: 0,
    };
  }
  if (isFirst) {
    board.demand.onOffered(request.route.id, best.unreadTokens);
  }
  const candidates = ranked.length;
  // A retry is not subject to admission, as the request was already admitted.
  if (!isFirst) {
    return { kind: 'send', placed: best, candidates };
  }
  const admit = isPrompt ? policies.admitPrompt : policies.admitCall;
  const verdict = admit(request, best);
  const held = holdBack(board, request, best);
  if (held) {
    return {
      kind: 'refuse',
      code: 'overloaded',
      ...held,
      verdict,
      best,
      candidates,
    };
  }
  // The cheapest replica may be the one that would not finish in time. The
  // request is rejected only if no other replica would serve it either.
  const placed = verdict.admit
    ? best
    : ranked.slice(1).find(other => admit(request, other).admit);
  recordAdmission(board, request, placed ?? null);
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
