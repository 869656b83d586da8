import type {
  BackendServerId,
  InstanceId,
  ResultCodeId,
  Route,
  RouteId,
  RoutedOrganisation,
  RoutedService,
  RoutingConfiguration,
} from '@jujubecroft/types';

import type {
  GatewayAdmission,
  GatewayVerdict,
} from './admission/GatewayAdmission.js';
import type {
  GatewayAttempt,
  GatewayRequest,
  PeerUse,
  ReportedLoad,
} from './BackendLoad.js';
import { BackendLoad, NO_PEER_USE } from './BackendLoad.js';
import type { GatewayBoard } from './GatewayBoard.js';
import { candidatesOf, learningOf } from './GatewayBoard.js';
import type {
  PlacedCandidate,
  PlacementPolicy,
} from './placement/PlacementPolicy.js';
import type { AttemptResult, Recovery } from './recovery/AttemptResult.js';
import type { RecoveryFacts } from './recovery/decideRecovery.js';
import { decideRecovery } from './recovery/decideRecovery.js';
import { isOvertaken, isSilent, usableCandidates } from './usableCandidates.js';
import type { RouteDemand } from './RouteDemand.js';
import { RoutingTable } from './RoutingTable.js';

/** The policies of the gateway. */
export interface GatewayPolicies {
  /** For services of language models. */
  readonly placePrompt: PlacementPolicy;
  /** For plain services. */
  readonly placeCall: PlacementPolicy;
  readonly admitPrompt: GatewayAdmission;
  readonly admitCall: GatewayAdmission;
}

/** Who a request is for, or why it is turned away. */
export type Match =
  | {
      readonly kind: 'matched';
      readonly route: Route;
      readonly service: RoutedService;
      readonly organisation: RoutedOrganisation | null;
    }
  | { readonly kind: 'refused'; readonly code: ResultCodeId };

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

/** What one instance tells the others of its use of a replica. */
export interface OwnUse extends PeerUse {
  readonly id: BackendServerId;
}

/** Told when no replica can be used; replicas mostly return within a second. */
const NO_BACKEND_RETRY_MS = 600;
/** What other instances told counts no longer than this without news. */
const PEER_USE_MAX_AGE_MS = 1500;
/** Share of the longest waiting time seen below which a try is not the first. */
const CAME_BACK_SHARE = 0.97;
/** Weight of the newest answer in the mean time of a plain service. */
const ANSWER_WEIGHT = 0.05;

/** What another instance told of its work. */
export interface PeerWork {
  readonly uses: readonly OwnUse[];
  readonly demands: readonly RouteDemand[];
}

interface PeerReport extends PeerWork {
  readonly atMs: number;
}

/**
 * The decision logic of the gateway on its blackboard.
 *
 * A host asks it where requests go and tells it what became of them. It does no
 * input or output and sets no timers.
 */
export class GatewayRouter {
  readonly #longestWaits = new Map<RouteId, number>();
  readonly #peerReports = new Map<InstanceId, PeerReport>();

  constructor(
    readonly board: GatewayBoard,
    private readonly policies: GatewayPolicies,
  ) {}

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
    const { replicas, backends, table, clock } = this.board;
    replicas.replicas.forEach(replica => {
      const load = backends.get(replica.id);
      if (load) {
        load.replica = replica;
        return;
      }
      const service = table?.service(replica.service);
      backends.set(replica.id, new BackendLoad(replica, service, clock));
    });
    [...backends.values()]
      .filter(
        ({ replica, inFlight }) =>
          inFlight === 0 && replicas.find(replica.id) === undefined,
      )
      .forEach(({ replica }) => backends.delete(replica.id));
  }

  /**
   * Finds route, service and organisation of a request.
   *
   * @param host - host that the caller named
   * @param path - without query
   * @param key - the caller's key; null where there is none
   */
  match(host: string, path: string, key: string | null): Match {
    const { table } = this.board;
    if (!table) {
      return { kind: 'refused', code: 'noRoutingKnown' };
    }
    const route = table.find(host, path);
    if (!route) {
      return { kind: 'refused', code: 'unknownRoute' };
    }
    const organisation = key === null ? undefined : table.organisationOf(key);
    if (table.needsKeys && !route.isPublic && !organisation) {
      return { kind: 'refused', code: 'unknownKey' };
    }
    const service = this.#chooseService(route, table);
    if (!service) {
      return { kind: 'refused', code: 'noBackendServer' };
    }
    const holder = route.isPublic ? null : (organisation ?? null);
    return { kind: 'matched', route, service, organisation: holder };
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
    const ranked = place(request, usable);
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
    const { load, unreadTokens, predictedMs } = placed;
    const attempt: GatewayAttempt = {
      request,
      load,
      number,
      sentNumber,
      sentMs: this.board.clock(),
      unreadTokens,
      tokensAhead: load.unreadTokens + unreadTokens,
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
    if (request.service.engine) {
      const { engine } = learningOf(this.board, request.service.id);
      engine.onFirstEvent(tokensAhead, tookMs);
      load.onDuration(tookMs, Math.max(predictedMs, engine.baseMs));
    }
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
    this.#judge(attempt, result);
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
      .map(({ replica, inFlight, ownUnreadTokens }) => ({
        id: replica.id,
        inFlight,
        unreadTokens: ownUnreadTokens,
      }));
  }

  /** Takes in what another instance runs. */
  onPeerWork(peer: InstanceId, work: PeerWork): void {
    this.#peerReports.set(peer, { atMs: this.board.clock(), ...work });
    this.#sumPeers();
  }

  /** Tells how many instances live. */
  onInstances(live: readonly InstanceId[]): void {
    this.board.instances = Math.max(1, live.length);
    this.board.budget.onInstances(this.board.instances);
    [...this.#peerReports.keys()]
      .filter(peer => !live.includes(peer))
      .forEach(peer => this.#peerReports.delete(peer));
    this.#sumPeers();
  }

  /**
   * Sums up what the others run.
   *
   * In a large fleet only some of them are heard of in time. Callers pick
   * instances at random, so those few stand for all: sums are scaled up by how
   * many there are. Left out, demand seems a fifth of what it is at sixty
   * instances, and replicas are split and filled for that fifth.
   */
  #sumPeers(): void {
    const oldestMs = this.board.clock() - PEER_USE_MAX_AGE_MS;
    const reports = [...this.#peerReports.values()].filter(
      ({ atMs }) => atMs >= oldestMs,
    );
    const scale = (this.board.instances - 1) / Math.max(1, reports.length);
    const sums = new Map<BackendServerId, PeerUse>();
    reports
      .flatMap(({ uses }) => uses)
      .forEach(({ id, inFlight, unreadTokens }) => {
        const sum = sums.get(id) ?? NO_PEER_USE;
        sums.set(id, {
          inFlight: sum.inFlight + scale * inFlight,
          unreadTokens: sum.unreadTokens + scale * unreadTokens,
        });
      });
    this.board.demand.onPeers(
      reports
        .flatMap(({ demands }) => demands)
        .map(({ route, tokensPerS, inFlight }) => ({
          route,
          tokensPerS: scale * tokensPerS,
          inFlight: scale * inFlight,
        })),
    );
    this.board.backends.forEach((load, id) => {
      load.peers = sums.get(id) ?? NO_PEER_USE;
    });
  }

  #chooseService(route: Route, table: RoutingTable): RoutedService | undefined {
    const total = route.shares.reduce((sum, { weight }) => sum + weight, 0);
    let drawn = this.board.random() * total;
    const share = route.shares.find(({ weight }) => {
      drawn -= weight;
      return drawn < 0;
    });
    const chosen = share ?? route.shares.at(-1);
    return chosen && table.service(chosen.service);
  }

  #judge(attempt: GatewayAttempt, result: AttemptResult): void {
    const { load } = attempt;
    switch (result.kind) {
      case 'answered':
        load.health.onSuccess();
        return;
      case 'failed':
      case 'lost':
      case 'notRun':
      case 'unsent':
        load.health.onFailure(this.#usualFailures(load));
        return;
      case 'withdrawn':
        // A caller that leaves says nothing of the replica, unless its answer
        // was lost there.
        if (
          result.reason === 'callerLeft' &&
          !isOvertaken(this.board, attempt)
        ) {
          load.health.onNeutral();
        } else {
          load.health.onFailure(this.#usualFailures(load));
        }
    }
  }

  /** The median share of failures among the other replicas of the service. */
  #usualFailures({ replica }: BackendLoad): number {
    const shares = candidatesOf(this.board, replica.service)
      .filter(load => load.replica.id !== replica.id)
      .map(({ health }) => health.failureShare)
      .sort((a, b) => a - b);
    return shares[Math.floor(shares.length / 2)] ?? 0;
  }
}
