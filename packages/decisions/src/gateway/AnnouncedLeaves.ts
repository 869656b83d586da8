import type { BackendServerId, Replica } from '@jujubecroft/types';

import { isSameRun } from './replicaRuns.js';

/** Maximum number of announcements that are kept; the oldest are dropped first. */
const MAX_ANNOUNCEMENTS = 1000;

type ReplicaRun = Pick<Replica, 'bornMs' | 'id'>;

/**
 * Runs of replicas that announced in an answer that they are leaving.
 *
 * An announcement holds for the rest of the run, whatever the store says: its
 * entry may be older than the answer, in particular while the store is
 * unavailable. It holds for this instance alone, since other instances receive
 * the announcement with their own answers.
 */
export class AnnouncedLeaves {
  readonly #runs = new Map<BackendServerId, ReplicaRun>();

  /**
   * Records an announcement.
   *
   * @param run - the run that is leaving
   * @returns whether it is the first one of this run
   */
  add(run: ReplicaRun): boolean {
    if (this.has(run)) {
      return false;
    }
    this.#runs.delete(run.id);
    this.#runs.set(run.id, { id: run.id, bornMs: run.bornMs });
    const [oldest] = this.#runs.keys();
    if (oldest !== undefined && this.#runs.size > MAX_ANNOUNCEMENTS) {
      this.#runs.delete(oldest);
    }
    return true;
  }

  /** Whether a run may be one that announced its leave. */
  has(run: ReplicaRun): boolean {
    const known = this.#runs.get(run.id);
    return known !== undefined && isSameRun(run, known);
  }
}
