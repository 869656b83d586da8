import type { BackendServerId } from '@jujubecroft/types';

import type { ReplicaRun } from './replicaRuns.js';
import { isSameRun } from './replicaRuns.js';

/** Maximum number of announcements that are kept; the oldest are dropped first. */
const MAX_ANNOUNCEMENTS = 1000;

interface Announcement extends ReplicaRun {
  /** End on the store's clock; null if it holds for the rest of the run. */
  readonly untilMs: number | null;
}

/**
 * Runs of replicas that are known to be leaving although their entries in the
 * store may say otherwise.
 *
 * An entry may be older than the announcement, in particular while the store is
 * unavailable or after it was restored from an older copy. Announcements hold for
 * this instance alone, since other instances receive them with their own answers.
 */
export class AnnouncedLeaves {
  readonly #announcements = new Map<BackendServerId, Announcement>();

  /** @param nowMs - reads the store's clock, in milliseconds */
  constructor(private readonly nowMs: () => number) {}

  /**
   * Records an announcement.
   *
   * @param run - the run that is leaving
   * @param untilMs - end on the store's clock; null if it holds for the rest of
   *   the run
   * @returns whether the run was not known to be leaving
   */
  add(run: ReplicaRun, untilMs: number | null = null): boolean {
    const isNew = !this.has(run);
    if (!isNew && untilMs !== null) {
      return false;
    }
    const { id, bornMs } = run;
    this.#announcements.delete(id);
    this.#announcements.set(id, { id, bornMs, untilMs });
    const [oldest] = this.#announcements.keys();
    if (oldest !== undefined && this.#announcements.size > MAX_ANNOUNCEMENTS) {
      this.#announcements.delete(oldest);
    }
    return isNew;
  }

  /** Whether a run may be one that is known to be leaving. */
  has(run: ReplicaRun): boolean {
    const known = this.#announcements.get(run.id);
    return (
      known !== undefined && isSameRun(run, known) && !this.#hasEnded(known)
    );
  }

  /** Drops the announcements that have ended, and returns their replicas. */
  takeEnded(): readonly BackendServerId[] {
    if (this.#announcements.size === 0) {
      return [];
    }
    const ended = [...this.#announcements.values()]
      .filter(announcement => this.#hasEnded(announcement))
      .map(({ id }) => id);
    ended.forEach(id => this.#announcements.delete(id));
    return ended;
  }

  #hasEnded({ untilMs }: Announcement): boolean {
    return untilMs !== null && untilMs <= this.nowMs();
  }
}
