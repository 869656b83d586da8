import type {
  BackendServerId,
  InstanceId,
  Replica,
  Route,
  RouteId,
  RoutingConfiguration,
} from '@jujubecroft/types';

import { CAUTIOUS_CRASHES } from './crashes/CrashLedger.js';
import { crashesOf, isBarred } from './crashes/crashesOf.js';
import { beginAttempt, noteBytes, noteEnd } from './attemptNotes.js';
import type {
  GatewayAttempt,
  GatewayRequest,
  ReportedLoad,
} from './BackendLoad.js';
import { BackendLoad } from './BackendLoad.js';
import { FirstTries } from './FirstTries.js';
import type { GatewayBoard } from './GatewayBoard.js';
import type { Match } from './matchRequest.js';
import { matchRequest } from './matchRequest.js';
import type { HeardReport, OwnUse, PeerWork } from './PeerWorkBook.js';
import { PeerWorkBook } from './PeerWorkBook.js';
import type { PlacedCandidate } from './placement/PlacementPolicy.js';
import type { GatewayPolicies, PlacementDecision } from './placeRequest.js';
import { placeRequest } from './placeRequest.js';
import type { AttemptResult, Recovery } from './recovery/AttemptResult.js';
import type { RecoveryFacts } from './recovery/decideRecovery.js';
import { decideRecovery } from './recovery/decideRecovery.js';
import { isLaterRun } from './replicaRuns.js';
import { isSilent } from './usableCandidates.js';
import { RoutingTable } from './RoutingTable.js';

/**
 * The decision logic of the gateway on its blackboard.
 *
 * A host asks it where requests go and tells it what became of them. It does no
 * input or output and sets no timers.
 */
export class GatewayRouter {
  readonly #firstTries = new Map<RouteId, FirstTries>();
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
    const { board } = this;
    const known = board.table?.cfg ?? null;
    if (known && cfg.version <= known.version) {
      return false;
    }
    board.table = new RoutingTable(board.configurations.follow(known, cfg));
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
   * @param route - of the request
   * @param timeLeftMs - as the caller said
   */
  cameBack(route: Route, timeLeftMs: number): boolean {
    const tries = this.#firstTries.get(route.id) ?? new FirstTries();
    this.#firstTries.set(route.id, tries);
    return tries.isSecond(timeLeftMs);
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
    return placeRequest(this.board, this.policies, request, tried);
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
    return beginAttempt(this.board, request, placed, { number, sentNumber });
  }

  /**
   * Whether the replica of an attempt may still get it, before anything was sent.
   *
   * @returns false once the replica leaves, is gone, or has started again, and where the
   *   request has crashed others meanwhile
   */
  mayReceive({ load, request }: GatewayAttempt): boolean {
    const { id } = load.replica;
    const known = this.board.replicas.find(id);
    return (
      known?.leaving === false &&
      this.board.backends.get(id) === load &&
      !isBarred(this.board, request)
    );
  }

  /**
   * Notes bytes of an answer.
   *
   * @param attempt - that they answer
   * @param hasRun - whether the answer bears the mark of a run
   */
  onBytes(attempt: GatewayAttempt, hasRun = true): void {
    noteBytes(this.board, attempt, hasRun);
  }

  /** Notes the load that a replica told with an answer. */
  onReported(attempt: GatewayAttempt, reported: ReportedLoad): void {
    attempt.load.onReported(reported);
  }

  /**
   * Notes the limit that a replica named with an answer.
   *
   * @param attempt - that it answers
   * @param perS - requests a second from all instances; null where it named none
   */
  onLimit({ load }: GatewayAttempt, perS: number | null): void {
    this.board.limits.onAnswer(load, { perS, atMs: this.board.clock() });
  }

  /** Notes how an attempt ended. */
  onEnded(attempt: GatewayAttempt, result: AttemptResult): void {
    noteEnd(this.board, attempt, result);
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
      isSuspect: () =>
        crashesOf(this.board, request).length >= CAUTIOUS_CRASHES,
      takeRepeat: () => this.board.budget.take(request.service.id),
    });
  }

  /** Attempts that should go on elsewhere, since their replica fell silent. */
  findSilent(): readonly GatewayAttempt[] {
    return [...this.board.backends.values()].flatMap(load =>
      [...load.attempts].filter(attempt => isSilent(this.board, attempt)),
    );
  }

  /** Attempts that may yet crash their replica, as the same content has crashed others. */
  findBarred(): readonly GatewayAttempt[] {
    if (this.board.crashes.barred.length === 0) {
      return [];
    }
    return [...this.board.backends.values()].flatMap(load =>
      [...load.attempts].filter(
        ({ firstByteMs, request }) =>
          firstByteMs === null && isBarred(this.board, request),
      ),
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
      .map(({ replica, inFlight, ownUnreadByRank }) => ({
        id: replica.id,
        bornMs: replica.bornMs,
        inFlight,
        unreadByRank: ownUnreadByRank,
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
    this.board.limits.onInstances(live);
    this.#peerWork.keepOnly(live);
  }
}
