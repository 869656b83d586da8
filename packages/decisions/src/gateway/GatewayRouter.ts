import type {
  BackendServerId,
  InstanceId,
  Replica,
  ResultCodeId,
  Route,
  RouteId,
  RoutingConfiguration,
} from '@jujubecroft/types';

import type {
  GatewayAdmission,
  GatewayVerdict,
} from './admission/GatewayAdmission.js';
import type {
  GatewayAttempt,
  GatewayRequest,
  ReportedLoad,
} from './BackendLoad.js';
import { BackendLoad } from './BackendLoad.js';
import type { GatewayBoard } from './GatewayBoard.js';
import { candidatesOf, learningOf } from './GatewayBoard.js';
import type { Match } from './matchRequest.js';
import { matchRequest } from './matchRequest.js';
import type { HeardReport, OwnUse, PeerWork } from './PeerWorkBook.js';
import { PeerWorkBook } from './PeerWorkBook.js';
import type {
  PlacedCandidate,
  PlacementPolicy,
} from './placement/PlacementPolicy.js';
import type { AttemptResult, Recovery } from './recovery/AttemptResult.js';
import type { RecoveryFacts } from './recovery/decideRecovery.js';
import { decideRecovery } from './recovery/decideRecovery.js';
import type { Urgency } from './placement/serviceRank.js';
import { serviceRank } from './placement/serviceRank.js';
import { judgeReplica } from './judgeReplica.js';
import { isLaterRun } from './replicaRuns.js';
import { isSilent, usableCandidates } from './usableCandidates.js';
import { RoutingTable } from './RoutingTable.js';

function urgencyOf(number: number, isDeferred: boolean): Urgency {
  if (isDeferred) {
    return 'deferred';
  }
  return number > 1 ? 'resumed' : 'new';
}

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
      readonly candidates: number;
    };

/** Told when no replica can be used; replicas mostly return within a second. */
const NO_BACKEND_RETRY_MS = 600;
/** Share of the longest waiting time seen below which a try is not the first. */
const CAME_BACK_SHARE = 0.97;
/** Weight of the newest answer in the mean time of a plain service. */
const ANSWER_WEIGHT = 0.05;

/**
 * The decision logic of the gateway on its blackboard.
 *
 * A host asks it where requests go and tells it what became of them. It does no
 * input or output and sets no timers.
 */
export class GatewayRouter {
  readonly #longestWaits = new Map<RouteId, number>();
  readonly #peerWork: PeerWorkBook;

  constructor(
    readonly board: GatewayBoard,
    private readonly policies: GatewayPolicies,
  ) {
    this.#peerWork = new PeerWorkBook(board);
  }

  /**
   * Puts a configuration in force unless a newer one is.
   *
   * @returns whether it is newer than the one before
   */
  configure(cfg: RoutingConfiguration): boolean {
    const known = this.board.table?.cfg.version ?? -1;
    if (cfg.version <= known) {
      return false;
    }
    this.board.table = new RoutingTable(cfg);
    return true;
  }

  /** Takes over the replicas of the registry. */
  syncReplicas(): void {
    const { replicas, backends } = this.board;
    replicas.replicas.forEach(replica => {
      this.#syncReplica(replica);
    });
    [...backends.values()]
      .filter(
        ({ replica, inFlight }) =>
          inFlight === 0 && replicas.find(replica.id) === undefined,
      )
      .forEach(({ replica }) => backends.delete(replica.id));
  }

  /**
   * Takes over one replica; a run that started again begins with a load of its own.
   *
   * Guards against taking what is known of the run before for the new one's: it
   * shows as prompts sent for a cache that is empty now, and as a sound replica
   * that is avoided for the failures of its crash.
   */
  #syncReplica(replica: Replica): void {
    const { backends, earlierRuns, table, clock } = this.board;
    const load = backends.get(replica.id);
    if (load && !isLaterRun(replica, load.replica)) {
      load.replica = replica;
      return;
    }
    if (load) {
      earlierRuns.add(load);
    }
    const service = table?.service(replica.service);
    backends.set(replica.id, new BackendLoad(replica, service, clock));
  }

  /**
   * Finds route, service and organisation of a request.
   *
   * @param host - host that the caller named
   * @param path - without query
   * @param key - the caller's key; null where there is none
   */
  match(host: string, path: string, key: string | null): Match {
    return matchRequest(this.board, host, path, key);
  }

  /**
   * Whether a caller seems to come back after a refusal.
   *
   * Each try has an id of its own, but callers count their waiting time from the
   * first, so a second try has noticeably less left than first ones have.
   *
   * @param route - of the request
   * @param timeLeftMs - as the caller said
   */
  cameBack(route: Route, timeLeftMs: number): boolean {
    const longest = Math.max(timeLeftMs, this.#longestWaits.get(route.id) ?? 0);
    this.#longestWaits.set(route.id, longest);
    return timeLeftMs < CAME_BACK_SHARE * longest;
  }

  /** Notes a caller's request, whatever becomes of it. */
  onRequest(request: GatewayRequest): void {
    this.board.budget.onRequest(request.service.id);
  }

  /**
   * Decides where a request goes.
   *
   * @param request - the request
   * @param tried - replicas that it was sent to before
   */
  place(
    request: GatewayRequest,
    tried: ReadonlySet<BackendServerId>,
  ): PlacementDecision {
    const all = candidatesOf(this.board, request.service.id);
    const untried = all.filter(({ replica }) => !tried.has(replica.id));
    const usable = usableCandidates(this.board, request, untried);
    const isPrompt = request.service.engine !== null;
    const place = isPrompt
      ? this.policies.placePrompt
      : this.policies.placeCall;
    const isFirst = tried.size === 0;
    const ranked = isFirst
      ? this.#rank(place, request, usable)
      : place(request, usable, false);
    const [best] = ranked;
    if (!best) {
      return {
        kind: 'refuse',
        code: 'noBackendServer',
        retryAfterMs: NO_BACKEND_RETRY_MS,
        verdict: null,
        candidates: 0,
      };
    }
    const admit = isPrompt
      ? this.policies.admitPrompt
      : this.policies.admitCall;
    // A request that runs already is not turned away half-way.
    const verdict = tried.size > 0 ? null : admit(request, best);
    if (verdict && !verdict.admit) {
      return {
        kind: 'refuse',
        code: 'overloaded',
        retryAfterMs: verdict.retryAfterMs,
        verdict,
        candidates: ranked.length,
      };
    }
    return { kind: 'send', placed: best, candidates: ranked.length };
  }

  /** Candidates for a request, once more as a deferred one where it is late anyway. */
  #rank(
    place: PlacementPolicy,
    request: GatewayRequest,
    usable: readonly BackendLoad[],
  ): readonly PlacedCandidate[] {
    const ranked = place(request, usable, false);
    const [best] = ranked;
    if (!best || !request.service.engine) {
      return ranked;
    }
    const spentMs = this.board.clock() - request.arrivedMs;
    const isLate = spentMs + best.predictedMs > request.route.latencyTargetMs;
    return isLate ? place(request, usable, true) : ranked;
  }

  /**
   * Notes that a request is being sent to a replica.
   *
   * @param request - the request
   * @param placed - where it goes
   * @param number - of the attempt, 1 for the first
   * @param sentNumber - the same, counting only those that left this instance
   */
  begin(
    request: GatewayRequest,
    placed: PlacedCandidate,
    number: number,
    sentNumber = number,
  ): GatewayAttempt {
    const { load, unreadTokens, fetch, isDeferred, predictedMs } = placed;
    const attempt: GatewayAttempt = {
      request,
      load,
      number,
      sentNumber,
      sentMs: this.board.clock(),
      unreadTokens,
      tokensAhead: load.unreadAhead(isDeferred) + unreadTokens,
      isDeferred,
      rank: serviceRank(request.priority, urgencyOf(number, isDeferred)),
      fetch,
      predictedMs,
      pieces: 0,
      overtaken: 0,
      firstByteMs: null,
      lastByteMs: null,
    };
    load.attempts.add(attempt);
    load.health.onSent();
    if (request.prompt) {
      load.memory.onRead(request.prompt.parts);
      this.board.demand.onRequest(request.route.id, unreadTokens);
    }
    return attempt;
  }

  /** Notes bytes of an answer. */
  onBytes(attempt: GatewayAttempt): void {
    const nowMs = this.board.clock();
    attempt.load.lastByteMs = nowMs;
    if (attempt.lastByteMs !== null) {
      attempt.load.onPause(nowMs - attempt.lastByteMs);
    }
    attempt.lastByteMs = nowMs;
    attempt.pieces += 1;
    if (attempt.firstByteMs !== null) {
      return;
    }
    attempt.firstByteMs = nowMs;
    attempt.load.onFirstByte(attempt);
    const { request, load, predictedMs, tokensAhead, sentMs } = attempt;
    const tookMs = nowMs - sentMs;
    const copyMs = attempt.fetch?.tookMs ?? 0;
    if (attempt.isDeferred) {
      this.#learnDeferred(attempt, tookMs);
      return;
    }
    if (request.service.engine) {
      const { engine } = learningOf(this.board, request.service.id);
      engine.onFirstEvent(tokensAhead, tookMs - copyMs);
      load.onDuration(tookMs, Math.max(predictedMs, engine.baseMs));
    }
  }

  /** How long a deferred request waits depends on what comes after it. */
  #learnDeferred(attempt: GatewayAttempt, tookMs: number): void {
    const { engine } = learningOf(this.board, attempt.request.service.id);
    const aheadMs = attempt.tokensAhead / engine.queueTokensPerMs;
    engine.onDeferred(tookMs, aheadMs + engine.baseMs);
  }

  /** Notes the load that a replica told with an answer. */
  onReported(attempt: GatewayAttempt, reported: ReportedLoad): void {
    attempt.load.onReported(reported);
  }

  /** Notes how an attempt ended. */
  onEnded(attempt: GatewayAttempt, result: AttemptResult): void {
    const { load, request } = attempt;
    load.attempts.delete(attempt);
    if (request.prompt) {
      this.board.demand.onEnded(request.route.id);
    }
    if (result.kind === 'answered') {
      this.board.lengths.onEnded(request.route.id, attempt.pieces);
    }
    if (attempt.isDeferred && attempt.firstByteMs === null) {
      this.#learnDeferred(attempt, this.board.clock() - attempt.sentMs);
    }
    judgeReplica(this.board, attempt, result);
    if (attempt.number > 1 && result.kind !== 'withdrawn') {
      const answered = result.kind === 'answered';
      this.board.retryGain.onRetried(request.route.id, answered);
    }
    if (result.kind === 'answered' && !request.service.engine) {
      const learning = learningOf(this.board, request.service.id);
      const tookMs = this.board.clock() - attempt.sentMs;
      learning.answerMs += ANSWER_WEIGHT * (tookMs - learning.answerMs);
      load.onDuration(tookMs, learning.answerMs);
    }
  }

  /** Decides what follows an attempt that gave no answer for the caller. */
  recover(
    request: GatewayRequest,
    result: AttemptResult,
    counts: Pick<RecoveryFacts, 'mayHaveRun' | 'sent' | 'unsent'>,
  ): Recovery {
    return decideRecovery(result, {
      ...counts,
      route: request.route,
      timeLeftMs: request.deadlineMs - this.board.clock(),
      retryHelps: () => this.board.retryGain.isWorthIt(request.route.id),
      takeRepeat: () => this.board.budget.take(request.service.id),
    });
  }

  /** Attempts that should go on elsewhere, since their replica fell silent. */
  findSilent(): readonly GatewayAttempt[] {
    return [...this.board.backends.values()].flatMap(load =>
      [...load.attempts].filter(attempt => isSilent(this.board, attempt)),
    );
  }

  /**
   * Attempts at runs of replicas that have ended since.
   *
   * Guards against waiting for an answer that can't come any more: a replica that
   * crashed without a sign leaves its connections open, and answers others.
   */
  takeOrphans(): readonly GatewayAttempt[] {
    const { earlierRuns } = this.board;
    const orphans = [...earlierRuns].flatMap(({ attempts }) => [...attempts]);
    earlierRuns.clear();
    return orphans;
  }

  /** Attempts of this instance that have not ended. */
  get inFlight(): number {
    return [...this.board.backends.values()].reduce(
      (sum, { inFlight }) => sum + inFlight,
      0,
    );
  }

  /** What this instance runs, for the others. */
  get ownUses(): readonly OwnUse[] {
    return [...this.board.backends.values()]
      .filter(({ inFlight }) => inFlight > 0)
      .map(({ replica, inFlight, ownUnreadTokens, ownDeferredTokens }) => ({
        id: replica.id,
        bornMs: replica.bornMs,
        inFlight,
        unreadTokens: ownUnreadTokens,
        deferredTokens: ownDeferredTokens,
      }));
  }

  /**
   * The newest loads that replicas told, for the others.
   *
   * In a large fleet an instance has an answer from a given replica every few
   * seconds; all of them together have one several times a second. Handed on,
   * everybody knows how full each replica is within a second.
   */
  get heardReports(): readonly HeardReport[] {
    const nowMs = this.board.clock();
    return [...this.board.backends.values()].flatMap(load => {
      const report = load.freshReport;
      const { id, bornMs } = load.replica;
      return report
        ? [{ id, bornMs, total: report.total, ageMs: nowMs - report.atMs }]
        : [];
    });
  }

  /** Takes in what another instance runs and has heard. */
  onPeerWork(peer: InstanceId, work: PeerWork): void {
    this.#peerWork.onWork(peer, work);
  }

  /** Tells how many instances live. */
  onInstances(live: readonly InstanceId[]): void {
    this.board.instances = Math.max(1, live.length);
    this.board.budget.onInstances(this.board.instances);
    this.#peerWork.keepOnly(live);
  }
}
