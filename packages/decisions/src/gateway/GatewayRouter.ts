import type {
  BackendServerId,
  InstanceId,
  Replica,
  Route,
  RouteId,
  RoutingConfiguration,
} from '@jujubecroft/types';

import { isSuspect } from './crashes/crashesOf.js';
import { findBarredAttempts } from './crashes/findBarredAttempts.js';
import { beginAttempt, recordBytes, recordEnd } from './attemptLifecycle.js';
import type {
  GatewayAttempt,
  GatewayRequest,
  ReportedLoad,
} from './BackendLoad.js';
import { BackendLoad } from './BackendLoad.js';
import { CallerRetryDetector } from './CallerRetryDetector.js';
import type { GatewayBoard } from './GatewayBoard.js';
import type { Match } from './matchRequest.js';
import { matchRequest } from './matchRequest.js';
import type {
  RelayedLoadReport,
  ReplicaUse,
  PeerUpdate,
} from './PeerLoadTracker.js';
import { PeerLoadTracker } from './PeerLoadTracker.js';
import type { PlacedCandidate } from './placement/PlacementPolicy.js';
import type { GatewayPolicies, PlacementDecision } from './placeRequest.js';
import { placeRequest } from './placeRequest.js';
import type { AttemptResult, Recovery } from './recovery/AttemptResult.js';
import type { RecoveryFacts } from './recovery/decideRecovery.js';
import { decideRecovery } from './recovery/decideRecovery.js';
import type {
  AttemptNumbers,
  ReservedMove,
} from './recovery/silentAttempts.js';
import { findAttemptsToMove, reserveMove } from './recovery/silentAttempts.js';
import {
  hasRunEnded,
  takeOrphanedAttempts,
} from './recovery/takeOrphanedAttempts.js';
import { passesLastCheck } from './passesLastCheck.js';
import { isRestarted } from './replicaRuns.js';
import { isUnresponsive } from './usableCandidates.js';
import { RoutingTable } from './RoutingTable.js';

/**
 * The decision logic of the gateway, operating on its blackboard.
 *
 * The host asks it where to send requests and reports what became of them. It
 * performs no I/O and sets no timers.
 */
export class GatewayRouter {
  readonly #retryDetectors = new Map<RouteId, CallerRetryDetector>();
  readonly #peerLoad: PeerLoadTracker;

  constructor(
    readonly board: GatewayBoard,
    private readonly policies: GatewayPolicies,
  ) {
    this.#peerLoad = new PeerLoadTracker(board);
  }

  /**
   * Applies a configuration unless the one in force is as new or newer.
   *
   * @param cfg - the configuration
   * @returns whether it was applied
   */
  configure(cfg: RoutingConfiguration): boolean {
    const { board } = this;
    const known = board.table?.cfg ?? null;
    if (known && cfg.version <= known.version) {
      return false;
    }
    board.table = new RoutingTable(board.configurations.record(known, cfg));
    board.shares?.retainServices(cfg.services.map(({ id }) => id));
    return true;
  }

  /**
   * Updates the loads from the replica registry and drops those of replicas
   * that are gone and have no attempts.
   */
  syncReplicas(): void {
    const { replicas, backends, speeds, paths, versions } = this.board;
    versions.observe(replicas.replicas);
    replicas.replicas.forEach(replica => {
      this.#syncReplica(replica);
    });
    [...backends.values()]
      .filter(
        ({ replica, inFlight }) =>
          inFlight === 0 && replicas.find(replica.id) === undefined,
      )
      .forEach(load => {
        backends.delete(load.replica.id);
        speeds.forget(load);
      });
    paths.retain(new Set(backends.keys()));
  }

  /**
   * Updates one replica. After a restart it gets a new load with no history.
   *
   * Otherwise, the state of the previous run would be attributed to the new
   * one: prompts would be sent there for a cache that is now empty, and a
   * healthy replica would be avoided because of the failures of the crash.
   */
  #syncReplica(replica: Replica): void {
    const { backends, supersededRuns, table, clock, speeds } = this.board;
    const load = backends.get(replica.id);
    if (load && !isRestarted(replica, load.replica)) {
      load.replica = replica;
      return;
    }
    if (load) {
      supersededRuns.add(load);
      speeds.forget(load);
    }
    const service = table?.service(replica.service);
    backends.set(replica.id, new BackendLoad(replica, service, clock));
  }

  /**
   * Resolves the route, service and organisation of a request.
   *
   * @param host - host named by the caller
   * @param path - path without the query
   * @param key - API key of the caller; null if there is none
   * @returns the match, or the code of the rejection
   */
  match(host: string, path: string, key: string | null): Match {
    return matchRequest(this.board, host, path, key);
  }

  /**
   * Records a request and determines whether it seems to be a retry of a
   * rejected one.
   *
   * @param route - route of the request
   * @param timeLeftMs - time until the caller's deadline, in milliseconds
   */
  isCallerRetry(route: Route, timeLeftMs: number): boolean {
    const detector =
      this.#retryDetectors.get(route.id) ?? new CallerRetryDetector();
    this.#retryDetectors.set(route.id, detector);
    return detector.observe(timeLeftMs);
  }

  /**
   * Counts a caller's request towards the retry budget, whatever its outcome.
   */
  onRequest(request: GatewayRequest): void {
    this.board.budget.onRequest(request.service.id);
  }

  /**
   * Decides which replica gets a request.
   *
   * @param request - the request
   * @param tried - replicas that the request was already sent to
   * @returns the chosen replica, or why the request is rejected
   */
  place(
    request: GatewayRequest,
    tried: ReadonlySet<BackendServerId>,
  ): PlacementDecision {
    this.refreshPeerLoad();
    return placeRequest(this.board, this.policies, request, tried);
  }

  /**
   * Records that a request is being sent to a replica.
   *
   * @param request - the request
   * @param placed - the chosen replica
   * @param number - number of the attempt, 1 for the first
   * @param sentNumber - the same, counting only attempts that left this
   *   instance
   * @returns the attempt
   */
  beginAttempt(
    request: GatewayRequest,
    placed: PlacedCandidate,
    number: number,
    sentNumber = number,
  ): GatewayAttempt {
    return beginAttempt(this.board, request, placed, { number, sentNumber });
  }

  /** See {@link passesLastCheck}. */
  mayReceive(attempt: GatewayAttempt): boolean {
    return passesLastCheck(this.board, attempt);
  }

  /**
   * Records that bytes of an answer arrived.
   *
   * @param attempt - the attempt that they answer
   * @param hasRun - whether the answer is marked as coming from a run of the
   *   request
   */
  onBytes(attempt: GatewayAttempt, hasRun = true): void {
    recordBytes(this.board, attempt, hasRun);
  }

  /** Records the load that a replica reported with an answer. */
  onReported({ load }: GatewayAttempt, reported: ReportedLoad): void {
    load.onReported(reported);
    if (reported.slowdown !== undefined) {
      this.board.speeds.activate(load.replica.service);
    }
  }

  /**
   * Records the limit that a replica announced with an answer.
   *
   * @param attempt - the answered attempt
   * @param perS - requests per second from all instances; null for no limit
   */
  onLimit({ load }: GatewayAttempt, perS: number | null): void {
    this.board.limits.onAnswer(load, { perS, atMs: this.board.clock() });
  }

  /**
   * Records that a replica announced with an answer that it is leaving. From
   * then on it gets no requests of this instance.
   *
   * @param attempt - the answered attempt
   * @returns whether it is the replica's first announcement to this instance
   */
  onLeaveAnnounced({ load }: GatewayAttempt): boolean {
    const isFirst = this.board.replicas.announceLeave(load.replica);
    if (isFirst) {
      this.syncReplicas();
    }
    return isFirst;
  }

  /**
   * Records that a replica rejected an attempt and requested a pause. It gets no
   * requests of this instance before the end of the pause.
   *
   * @param attempt - the rejected attempt
   * @param pauseMs - time for which the replica accepts nothing from this
   *   instance, in milliseconds
   * @returns whether the replica was not paused before
   */
  onPauseRequested({ load }: GatewayAttempt, pauseMs: number): boolean {
    return this.board.pauses.add(load.replica, pauseMs);
  }

  /** Records how an attempt ended. */
  onEnded(attempt: GatewayAttempt, result: AttemptResult): void {
    recordEnd(this.board, attempt, result);
  }

  /**
   * Decides how to proceed after an attempt that gave no answer for the caller.
   *
   * @param request - the request
   * @param result - how the attempt ended
   * @param progress - the attempts so far, and what the caller has received
   */
  recover(
    request: GatewayRequest,
    result: AttemptResult,
    progress: Pick<
      RecoveryFacts,
      | 'canContinue'
      | 'hasCandidates'
      | 'mayHaveRun'
      | 'mayReturn'
      | 'rejected'
      | 'sent'
      | 'unsent'
    >,
  ): Recovery {
    return decideRecovery(result, {
      ...progress,
      route: request.route,
      timeLeftMs: request.deadlineMs - this.board.clock(),
      retryHelps: () => this.board.retryGain.shouldRetry(request.route.id),
      isSuspect: () => isSuspect(this.board, request),
      takeRetry: () => this.board.budget.take(request.service.id),
    });
  }

  /** See {@link findAttemptsToMove}. */
  findAttemptsToMove(): readonly GatewayAttempt[] {
    return findAttemptsToMove(this.board);
  }

  /** See {@link reserveMove}. */
  reserveMove(
    attempt: GatewayAttempt,
    numbers: AttemptNumbers,
    tried: ReadonlySet<BackendServerId>,
    mayMoveTo?: (placed: PlacedCandidate) => boolean,
  ): ReservedMove | null {
    const excluded = new Set([...tried, attempt.load.replica.id]);
    const place = (): PlacementDecision =>
      this.place(attempt.request, excluded);
    return reserveMove(this.board, attempt, numbers, place, mayMoveTo);
  }

  /**
   * Returns the replicas that are silent although they have requests of this
   * instance, and whose path may be checked now.
   */
  findPathsToCheck(): readonly Replica[] {
    const { board } = this;
    return [...board.backends.values()]
      .filter(load => isUnresponsive(board, load))
      .map(({ replica }) => replica)
      .filter(replica => board.paths.takeCheck(replica));
  }

  /**
   * Records that another instance connected to a replica while this one could
   * not.
   *
   * @returns whether the path was not lost before
   */
  onPathLost(replica: Replica): boolean {
    const { backends, paths } = this.board;
    const isNew = paths.onRelayed(replica);
    if (isNew) {
      // Its failures since the loss were those of the path.
      backends.get(replica.id)?.health.reset();
    }
    return isNew;
  }

  /** See {@link findBarredAttempts}. */
  findBarredAttempts(): readonly GatewayAttempt[] {
    return findBarredAttempts(this.board);
  }

  /** See {@link takeOrphanedAttempts}. */
  takeOrphanedAttempts(): readonly GatewayAttempt[] {
    return takeOrphanedAttempts(this.board);
  }

  /** See {@link hasRunEnded}. */
  hasRunEnded(attempt: GatewayAttempt): boolean {
    return hasRunEnded(this.board, attempt);
  }

  /** Number of attempts of this instance that have not ended. */
  get inFlight(): number {
    let sum = 0;
    this.board.backends.forEach(({ inFlight }) => {
      sum += inFlight;
    });
    return sum;
  }

  /** This instance's use of each replica, to be sent to other instances. */
  get ownReplicaUses(): readonly ReplicaUse[] {
    const uses: ReplicaUse[] = [];
    this.board.backends.forEach(load => {
      const { inFlight, replica } = load;
      if (inFlight > 0) {
        const { id, bornMs } = replica;
        const unreadByRank = load.ownUnreadByRank;
        uses.push({ id, bornMs, inFlight, unreadByRank });
      }
    });
    return uses;
  }

  /**
   * The newest load report of each replica, to be sent to other instances.
   *
   * In a large fleet, one instance gets an answer from a given replica only
   * every few seconds, but all instances together get several per second. By
   * relaying the reports, every instance knows the load of each replica within
   * a second.
   */
  get loadReports(): readonly RelayedLoadReport[] {
    const nowMs = this.board.clock();
    const reports: RelayedLoadReport[] = [];
    this.board.backends.forEach(({ freshReport, replica }) => {
      if (freshReport) {
        const { total, atMs } = freshReport;
        const { id, bornMs } = replica;
        reports.push({ id, bornMs, total, ageMs: nowMs - atMs });
      }
    });
    return reports;
  }

  /** Records the work and the load reports that another instance sent. */
  onPeerUpdate(peer: InstanceId, update: PeerUpdate): void {
    this.#peerLoad.onPeerUpdate(peer, update);
    if (update.work) {
      this.board.shares?.onReport(peer, update.work);
    }
  }

  /**
   * Brings the totals of the other instances' work on the blackboard up to
   * date. Placements and each change of the set of instances do so as well.
   */
  refreshPeerLoad(): void {
    this.#peerLoad.refresh();
  }

  /** Updates the set of live instances. */
  onInstances(live: readonly InstanceId[]): void {
    this.board.instances = Math.max(1, live.length);
    this.board.budget.onInstances(this.board.instances);
    this.board.limits.onInstances(live);
    this.board.relays.retain(live);
    this.board.crashes.parts.onInstances(live);
    this.board.shares?.onInstances(live);
    this.#peerLoad.retainPeers(live);
  }
}
