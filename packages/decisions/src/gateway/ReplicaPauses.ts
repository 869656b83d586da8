import type { BackendServerId } from '@jujubecroft/types';

import type { Clock } from '../blackboard/Blackboard.js';
import type { ReplicaRun } from './replicaRuns.js';
import { isSameRun } from './replicaRuns.js';

/**
 * Largest random extension of a pause, as a share of the pause and in
 * milliseconds. Without it, all instances would return at the same time.
 */
const MAX_EXTENSION_SHARE = 0.2;
const MAX_EXTENSION_MS = 500;

interface Pause extends ReplicaRun {
  /** End of the pause, on the local clock. */
  readonly untilMs: number;
}

/**
 * Pauses that replicas requested from this instance: times in which they accept
 * nothing from it.
 *
 * A pause is neither a failure nor an estimate, so it doesn't count towards the
 * health of a replica, and no probe is sent before its end.
 */
export class ReplicaPauses {
  readonly #pauses = new Map<BackendServerId, Pause>();

  constructor(
    private readonly clock: Clock,
    private readonly random: () => number,
  ) {}

  /**
   * Records that a replica requested a pause. The latest end of all requested
   * pauses applies.
   *
   * @param run - the run of the replica
   * @param pauseMs - requested time from now, in milliseconds
   * @returns whether the replica was not paused before
   */
  add({ id, bornMs }: ReplicaRun, pauseMs: number): boolean {
    this.#dropEnded();
    if (pauseMs <= 0) {
      return false;
    }
    const knownMs = this.remainingMs({ id, bornMs });
    const extensionMs =
      this.random() * Math.min(MAX_EXTENSION_MS, MAX_EXTENSION_SHARE * pauseMs);
    const remainingMs = Math.max(knownMs, pauseMs + extensionMs);
    this.#pauses.set(id, { id, bornMs, untilMs: this.clock() + remainingMs });
    return knownMs === 0;
  }

  /**
   * Returns the time until a replica accepts requests again, in milliseconds; 0
   * if it is not paused.
   */
  remainingMs(run: ReplicaRun): number {
    const pause = this.#pauses.get(run.id);
    return pause && isSameRun(run, pause)
      ? Math.max(0, pause.untilMs - this.clock())
      : 0;
  }

  /** Whether a replica accepts nothing from this instance now. */
  isPaused(run: ReplicaRun): boolean {
    return this.remainingMs(run) > 0;
  }

  #dropEnded(): void {
    const nowMs = this.clock();
    [...this.#pauses.values()]
      .filter(({ untilMs }) => untilMs <= nowMs)
      .forEach(({ id }) => this.#pauses.delete(id));
  }
}
