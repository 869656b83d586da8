import type { BackendServerId } from '@jujubecroft/types';

import type { Clock } from '../../blackboard/Blackboard.js';
import type { ReplicaRun } from '../replicaRuns.js';
import { isSameRun } from '../replicaRuns.js';

/** How to open a connection to a replica. */
export interface ConnectionPlan {
  /** Whether to try to connect directly. */
  readonly direct: boolean;
  /**
   * Time without a direct connection after which one is opened through another
   * instance, in milliseconds; 0 to do so at once.
   */
  readonly relayAfterMs: number;
}

interface LostPath extends ReplicaRun {
  /** When the loss was last confirmed, on the local clock. */
  readonly confirmedMs: number;
  /** When the direct path is tried again, on the local clock. */
  readonly probeMs: number;
}

interface PathLoss extends ReplicaRun {
  readonly atMs: number;
}

/** Time after which another instance is asked for a connection. */
const RELAY_AFTER_MS = 100;
/** The same while this instance's own links are suspected. */
const SUSPECTED_RELAY_AFTER_MS = 20;
/** Number of lost paths from which this instance's own links are suspected. */
const MIN_SUSPECTED_LOSSES = 2;
/** Mean interval between attempts to connect directly over a lost path. */
const PROBE_INTERVAL_MS = 750;
/** Time within which other lost paths are tried once one is restored. */
const RETURN_SPREAD_MS = 300;
/** Number of lost paths that are tried in one round of probes. */
const MAX_PROBES = 2;
/** Time for which a loss counts without a new confirmation. */
const LOSS_RETENTION_MS = 3000;
/** Time for which a past loss is remembered; attempts may be as old. */
const PAST_LOSS_RETENTION_MS = 60_000;
/** Shortest interval between checks of the path to one replica. */
const CHECK_INTERVAL_MS = 1000;

/**
 * Paths from this instance to replicas.
 *
 * Whether a replica can be reached is a property of the path, not of the
 * replica. A path counts as lost if this instance can't connect while another
 * instance can; a replica that no instance reaches has no lost path.
 */
export class ReplicaPaths {
  readonly #lost = new Map<BackendServerId, LostPath>();
  readonly #pastLosses = new Map<BackendServerId, PathLoss>();
  readonly #checkedMs = new Map<BackendServerId, number>();

  constructor(
    private readonly clock: Clock,
    private readonly random: () => number,
  ) {}

  /** Number of replicas to which the path is lost. */
  get lostCount(): number {
    this.#dropOutdated();
    return this.#lost.size;
  }

  /** Whether so many paths are lost that this instance's own links are suspected. */
  get suspectsOwnLinks(): boolean {
    return this.lostCount >= MIN_SUSPECTED_LOSSES;
  }

  /** Whether the path to a replica is lost. */
  isLost(run: ReplicaRun): boolean {
    return this.#findLost(run) !== undefined;
  }

  /**
   * When the path to a replica was last lost, on the local clock; -Infinity if
   * it never was. What was sent before may be lost with it.
   */
  lastLostMs(run: ReplicaRun): number {
    const loss = this.#pastLosses.get(run.id);
    return loss && isSameRun(run, loss) ? loss.atMs : -Infinity;
  }

  /**
   * Decides how to open a connection. Over a lost path, few attempts are made to
   * connect directly, at random times, so that instances don't return together.
   */
  planConnection(run: ReplicaRun): ConnectionPlan {
    const lost = this.#findLost(run);
    if (!lost) {
      return {
        direct: true,
        relayAfterMs: this.suspectsOwnLinks
          ? SUSPECTED_RELAY_AFTER_MS
          : RELAY_AFTER_MS,
      };
    }
    const isProbeDue = this.clock() >= lost.probeMs;
    if (isProbeDue) {
      this.#lost.set(run.id, { ...lost, probeMs: this.#nextProbeMs() });
    }
    return { direct: isProbeDue, relayAfterMs: 0 };
  }

  /**
   * Records a direct connection. If the path was lost, others may be restored as
   * well and are tried soon.
   *
   * @returns whether the path was lost before
   */
  onDirect({ id }: ReplicaRun): boolean {
    const wasLost = this.#lost.delete(id);
    if (wasLost) {
      const nowMs = this.clock();
      this.#lost.forEach((lost, other) => {
        const probeMs = nowMs + RETURN_SPREAD_MS * this.random();
        this.#lost.set(other, {
          ...lost,
          probeMs: Math.min(lost.probeMs, probeMs),
        });
      });
    }
    return wasLost;
  }

  /**
   * Selects lost paths to be tried now, few of them at a time.
   *
   * @param isInUse - whether connections of other instances stand in for a path;
   *   others are tried when a connection is needed
   * @returns ids of the replicas
   */
  takeProbes(
    isInUse: (id: BackendServerId) => boolean,
  ): readonly BackendServerId[] {
    if (this.#lost.size === 0) {
      return [];
    }
    const nowMs = this.clock();
    const due = [...this.#lost.values()]
      .filter(({ id, probeMs }) => probeMs <= nowMs && isInUse(id))
      .sort((a, b) => a.probeMs - b.probeMs)
      .slice(0, MAX_PROBES);
    due.forEach(lost => {
      this.#lost.set(lost.id, { ...lost, probeMs: this.#nextProbeMs() });
    });
    return due.map(({ id }) => id);
  }

  /** Records that a lost path was tried again in vain. */
  onProbeFailed({ id }: ReplicaRun): void {
    const lost = this.#lost.get(id);
    if (lost) {
      this.#lost.set(id, { ...lost, confirmedMs: this.clock() });
    }
  }

  /**
   * Records that another instance connected to a replica while a direct
   * connection was not possible.
   *
   * @returns whether the path was not lost before
   */
  onRelayed(run: ReplicaRun): boolean {
    const { id, bornMs } = run;
    const nowMs = this.clock();
    const known = this.#findLost(run);
    const probeMs = known?.probeMs ?? this.#nextProbeMs();
    this.#lost.set(id, { id, bornMs, confirmedMs: nowMs, probeMs });
    if (!known) {
      this.#pastLosses.set(id, { id, bornMs, atMs: nowMs });
    }
    return !known;
  }

  /**
   * Whether the path to a silent replica may be checked now.
   *
   * @returns true at most once in each interval
   */
  takeCheck({ id }: ReplicaRun): boolean {
    const nowMs = this.clock();
    const isDue =
      nowMs - (this.#checkedMs.get(id) ?? -Infinity) >= CHECK_INTERVAL_MS;
    if (isDue) {
      this.#checkedMs.set(id, nowMs);
    }
    return isDue;
  }

  /** Drops what is known about all replicas except the given ones. */
  retain(ids: ReadonlySet<BackendServerId>): void {
    [this.#lost, this.#pastLosses, this.#checkedMs].forEach(known => {
      [...known.keys()]
        .filter(id => !ids.has(id))
        .forEach(id => known.delete(id));
    });
  }

  #findLost(run: ReplicaRun): LostPath | undefined {
    this.#dropOutdated();
    const lost = this.#lost.get(run.id);
    return lost && isSameRun(run, lost) ? lost : undefined;
  }

  #nextProbeMs(): number {
    return this.clock() + PROBE_INTERVAL_MS * (0.5 + this.random());
  }

  #dropOutdated(): void {
    const nowMs = this.clock();
    this.#lost.forEach(({ id, confirmedMs }) => {
      if (nowMs - confirmedMs > LOSS_RETENTION_MS) {
        this.#lost.delete(id);
      }
    });
    this.#pastLosses.forEach(({ id, atMs }) => {
      if (nowMs - atMs > PAST_LOSS_RETENTION_MS && !this.#lost.has(id)) {
        this.#pastLosses.delete(id);
      }
    });
  }
}
