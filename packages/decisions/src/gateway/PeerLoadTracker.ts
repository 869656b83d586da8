import type { BackendServerId, InstanceId } from '@jujubecroft/types';

import type { ObservedLength } from './AnswerLengths.js';
import type { PeerUse } from './BackendLoad.js';
import { NO_PEER_USE } from './BackendLoad.js';
import type { GatewayBoard } from './GatewayBoard.js';
import { isSameRun } from './replicaRuns.js';
import type { RouteDemand } from './RouteDemand.js';
import type { WorkReport } from './shares/WorkReport.js';

/** One run of a replica, from its start to its end. */
interface ReplicaRun {
  readonly id: BackendServerId;
  /** Start of the run in Unix milliseconds; null if unknown. */
  readonly bornMs: number | null;
}

/** One instance's use of a replica, as reported to the others. */
export interface ReplicaUse extends PeerUse, ReplicaRun {}

/** Load reported by a replica, as relayed by another instance. */
export interface RelayedLoadReport extends ReplicaRun {
  readonly total: number;
  readonly ageMs: number;
}

/** Work and load reports received from another instance. */
export interface PeerUpdate {
  /**
   * The newest report of each replica, received by that instance itself or
   * relayed.
   */
  readonly reports: readonly RelayedLoadReport[];
  readonly uses: readonly ReplicaUse[];
  readonly demands: readonly RouteDemand[];
  readonly lengths: readonly ObservedLength[];
  /** Work by organisation; absent where capacity is not divided. */
  readonly work?: WorkReport;
}

interface ReceivedUpdate extends PeerUpdate {
  readonly atMs: number;
}

/**
 * Age from which the report of another instance is ignored, in milliseconds.
 */
const MAX_PEER_REPORT_AGE_MS = 1500;

/**
 * Scale factor up to which the reports count as covering nearly all instances.
 */
const MAX_SCALE_OF_FULL_VIEW = 1.5;

/** Mutable sum, built in place. */
interface MutablePeerUse {
  inFlight: number;
  readonly unreadByRank: number[];
}

function addScaled(sum: MutablePeerUse, use: PeerUse, scale: number): void {
  sum.inFlight += scale * use.inFlight;
  use.unreadByRank.forEach((tokens, rank) => {
    sum.unreadByRank[rank] = (sum.unreadByRank[rank] ?? 0) + scale * tokens;
  });
}

/**
 * Keeps the reported work of other instances and writes the totals to the
 * blackboard.
 */
export class PeerLoadTracker {
  readonly #reports = new Map<InstanceId, ReceivedUpdate>();
  /** Whether updates have arrived that the totals don't contain. */
  #isOutdated = false;

  constructor(private readonly board: GatewayBoard) {}

  /** Records the work and the load reports that another instance sent. */
  onPeerUpdate(peer: InstanceId, update: PeerUpdate): void {
    const atMs = this.board.clock();
    update.reports.forEach(report => {
      if (this.#isCurrentRun(report)) {
        const { id, total, ageMs } = report;
        this.board.backends
          .get(id)
          ?.onPeerReport({ total, atMs: atMs - ageMs });
      }
    });
    this.#reports.set(peer, { atMs, ...update });
    this.#isOutdated = true;
  }

  /** Drops the reports of instances that are no longer live. */
  retainPeers(live: readonly InstanceId[]): void {
    const alive = new Set(live);
    this.#reports.forEach((_, peer) => {
      if (!alive.has(peer)) {
        this.#reports.delete(peer);
      }
    });
    this.#isOutdated = true;
    this.refresh();
  }

  /**
   * Adds updates that arrived since the last call to the totals. To be called
   * before the totals are used: an idle instance receives some twenty updates a
   * second and uses none of the totals.
   */
  refresh(): void {
    if (this.#isOutdated) {
      this.#isOutdated = false;
      this.#aggregate();
    }
  }

  /**
   * Whether a report refers to the known run of its replica. Reports of other
   * runs say nothing about it.
   */
  #isCurrentRun(run: ReplicaRun): boolean {
    const load = this.board.backends.get(run.id);
    return load !== undefined && isSameRun(run, load.replica);
  }

  /**
   * Recomputes the totals over the other instances.
   *
   * In a large fleet, only some instances have reported recently. Since callers
   * pick instances at random, these are a representative sample, and their
   * totals are scaled up to the number of instances. Without scaling, sixty
   * instances would see a fifth of the actual demand, and would split and fill
   * the replicas accordingly.
   */
  #aggregate(): void {
    const { board } = this;
    const oldestMs = board.clock() - MAX_PEER_REPORT_AGE_MS;
    const reports = [...this.#reports.values()].filter(
      ({ atMs }) => atMs >= oldestMs,
    );
    const scale = (board.instances - 1) / Math.max(1, reports.length);
    const sums = new Map<BackendServerId, MutablePeerUse>();
    const demands: RouteDemand[] = [];
    reports.forEach(report => {
      report.uses.forEach(use => {
        if (this.#isCurrentRun(use)) {
          const sum = sums.get(use.id) ?? { inFlight: 0, unreadByRank: [] };
          sums.set(use.id, sum);
          addScaled(sum, use, scale);
        }
      });
      report.demands.forEach(({ route, tokensPerS, inFlight }) => {
        demands.push({
          route,
          tokensPerS: scale * tokensPerS,
          inFlight: scale * inFlight,
        });
      });
    });
    board.demand.onPeers(demands);
    board.lengths.onPeers(reports.flatMap(({ lengths }) => lengths));
    board.backends.forEach((load, id) => {
      load.peers = sums.get(id) ?? NO_PEER_USE;
      load.isPeerUseExtrapolated = scale > MAX_SCALE_OF_FULL_VIEW;
    });
  }
}
