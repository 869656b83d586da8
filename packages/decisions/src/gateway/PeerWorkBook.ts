import type { BackendServerId, InstanceId } from '@jujubecroft/types';

import type { SeenLength } from './AnswerLengths.js';
import type { PeerUse } from './BackendLoad.js';
import { NO_PEER_USE } from './BackendLoad.js';
import type { GatewayBoard } from './GatewayBoard.js';
import { isSameRun } from './replicaRuns.js';
import type { RouteDemand } from './RouteDemand.js';

/** One run of a replica. */
interface ReplicaRun {
  readonly id: BackendServerId;
  /** Its start in Unix milliseconds; null where that is unknown. */
  readonly bornMs: number | null;
}

/** What one instance tells the others of its use of a replica. */
export interface OwnUse extends PeerUse, ReplicaRun {}

/** Load that a replica told, as one instance hands it on. */
export interface HeardReport extends ReplicaRun {
  readonly total: number;
  readonly ageMs: number;
}

/** What another instance told of its work. */
export interface PeerWork {
  /** The newest report of each replica that it knows of, its own or another's. */
  readonly reports: readonly HeardReport[];
  readonly uses: readonly OwnUse[];
  readonly demands: readonly RouteDemand[];
  readonly lengths: readonly SeenLength[];
}

interface PeerReport extends PeerWork {
  readonly atMs: number;
}

/** What other instances told counts no longer than this without news. */
const MAX_AGE_MS = 1500;

/** Factor up to which the instances that were heard of are nearly all. */
const MAX_WHOLE_SCALE = 1.5;

/** A sum that grows in place, since it is made anew with every exchange. */
interface GrowingUse {
  inFlight: number;
  readonly unreadByRank: number[];
}

function addScaled(sum: GrowingUse, use: PeerUse, scale: number): void {
  sum.inFlight += scale * use.inFlight;
  use.unreadByRank.forEach((tokens, rank) => {
    sum.unreadByRank[rank] = (sum.unreadByRank[rank] ?? 0) + scale * tokens;
  });
}

/** Keeps what other instances run, and puts the sums on the blackboard. */
export class PeerWorkBook {
  readonly #reports = new Map<InstanceId, PeerReport>();

  constructor(private readonly board: GatewayBoard) {}

  /** Takes in what another instance runs and has heard. */
  onWork(peer: InstanceId, work: PeerWork): void {
    work.reports
      .filter(report => this.#isOfThisRun(report))
      .forEach(({ id, total, ageMs }) => {
        const atMs = this.board.clock() - ageMs;
        this.board.backends.get(id)?.onPeerReport({ total, atMs });
      });
    this.#reports.set(peer, { atMs: this.board.clock(), ...work });
    this.#sumUp();
  }

  /** Forgets instances that live no longer. */
  keepOnly(live: readonly InstanceId[]): void {
    const alive = new Set(live);
    [...this.#reports.keys()]
      .filter(peer => !alive.has(peer))
      .forEach(peer => this.#reports.delete(peer));
    this.#sumUp();
  }

  /** What was told of another run of a replica says nothing of the one known. */
  #isOfThisRun(run: ReplicaRun): boolean {
    const load = this.board.backends.get(run.id);
    return load !== undefined && isSameRun(run, load.replica);
  }

  /**
   * Sums up what the others run.
   *
   * In a large fleet only some of them are heard of in time. Callers pick
   * instances at random, so those few stand for all: sums are scaled up by how
   * many there are. Left out, demand seems a fifth of what it is at sixty
   * instances, and replicas are split and filled for that fifth.
   */
  #sumUp(): void {
    const { board } = this;
    const oldestMs = board.clock() - MAX_AGE_MS;
    const reports = [...this.#reports.values()].filter(
      ({ atMs }) => atMs >= oldestMs,
    );
    const scale = (board.instances - 1) / Math.max(1, reports.length);
    const sums = new Map<BackendServerId, GrowingUse>();
    reports
      .flatMap(({ uses }) => uses)
      .filter(use => this.#isOfThisRun(use))
      .forEach(use => {
        const sum = sums.get(use.id) ?? { inFlight: 0, unreadByRank: [] };
        sums.set(use.id, sum);
        addScaled(sum, use, scale);
      });
    board.demand.onPeers(
      reports
        .flatMap(({ demands }) => demands)
        .map(({ route, tokensPerS, inFlight }) => ({
          route,
          tokensPerS: scale * tokensPerS,
          inFlight: scale * inFlight,
        })),
    );
    board.lengths.onPeers(reports.flatMap(({ lengths }) => lengths));
    board.backends.forEach((load, id) => {
      load.peers = sums.get(id) ?? NO_PEER_USE;
      load.peersAreSample = scale > MAX_WHOLE_SCALE;
    });
  }
}
