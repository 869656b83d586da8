import type { Clock } from '../../blackboard/Blackboard.js';

/** How much of the slots of a service should be in use. */
export interface CapacityOptions {
  /** Part of the slots that the peak of the load should take. */
  readonly targetUse: number;
  /** Time for which a peak counts in full, in milliseconds. */
  readonly holdMs: number;
  /** Time in which what is needed shrinks to a third without load. */
  readonly decayMs: number;
}

export const DEFAULT_CAPACITY: CapacityOptions = {
  targetUse: 0.5,
  holdMs: 15_000,
  decayMs: 30_000,
};

/** The load of a service at one moment. */
export interface ServiceLoad {
  /** Requests that run or wait at its replicas. */
  readonly inFlight: number;
  /** Slots of one replica. */
  readonly slots: number;
  /** Replicas that may be ordered at most. */
  readonly most: number;
}

/**
 * Estimates how many replicas a service needs for its peaks.
 *
 * Demand comes in bursts that are over before a replica has started, so what the last
 * peak needed is kept, and given up slowly. Before any load was seen, what stands is
 * what its operators thought right.
 */
export class CapacityNeed {
  #need: number;
  #peakMs = -Infinity;
  #seenMs = -Infinity;

  /**
   * @param before - replicas that were needed before this instance looked
   * @param clock - local time
   * @param options - how much of them should be in use
   */
  constructor(
    before: number,
    private readonly clock: Clock,
    private readonly options: CapacityOptions = DEFAULT_CAPACITY,
  ) {
    this.#need = before;
  }

  /** Replicas that are needed, as last seen. */
  get replicas(): number {
    return this.#need;
  }

  /**
   * Takes in the load of this moment.
   *
   * @returns replicas that are needed
   */
  observe({ inFlight, slots, most }: ServiceLoad): number {
    const { targetUse, holdMs, decayMs } = this.options;
    const nowMs = this.clock();
    const now = Math.min(most, inFlight / (Math.max(1, slots) * targetUse));
    const before = this.#need;
    const sinceMs = nowMs - this.#seenMs;
    this.#seenMs = nowMs;
    const isHeld = inFlight === 0 || nowMs - this.#peakMs < holdMs;
    const kept =
      isHeld || sinceMs > holdMs
        ? before
        : before * Math.exp(-sinceMs / decayMs);
    const isFirst = this.#peakMs === -Infinity;
    if (inFlight > 0 && (now >= kept || isFirst)) {
      this.#peakMs = nowMs;
    }
    this.#need = Math.max(kept, now);
    return this.#need;
  }
}
