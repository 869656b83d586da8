import type { Clock } from '../../blackboard/Blackboard.js';

/** Parameters of the capacity estimate. */
export interface CapacityOptions {
  /** Share of the slots that should be in use at peak load, between 0 and 1. */
  readonly targetUse: number;
  /** Time for which a peak counts in full, in milliseconds. */
  readonly holdMs: number;
  /**
   * Time constant of the exponential decay after that, in milliseconds. The need does not
   * decay while no requests are in flight.
   */
  readonly decayMs: number;
}

export const DEFAULT_CAPACITY: CapacityOptions = {
  targetUse: 0.5,
  holdMs: 15_000,
  decayMs: 30_000,
};

/** Load of a service at one point in time. */
export interface ServiceLoad {
  /** Requests that run or wait on its replicas. */
  readonly inFlight: number;
  /** Slots of one replica. */
  readonly slots: number;
  /** Maximum number of replicas that may be ordered. */
  readonly most: number;
}

/**
 * Estimates how many replicas a service needs at peak load.
 *
 * Demand arrives in bursts that end before a new replica has started, so the need of
 * the last peak is held and then decays slowly. Until the first load is observed, the
 * initial number of replicas is kept, since the operators chose it.
 */
export class CapacityEstimator {
  #need: number;
  #peakMs = -Infinity;
  #observedMs = -Infinity;

  /**
   * @param initial - number of replicas needed before the first observation
   * @param clock - local time
   * @param options - parameters of the estimate
   */
  constructor(
    initial: number,
    private readonly clock: Clock,
    private readonly options: CapacityOptions = DEFAULT_CAPACITY,
  ) {
    this.#need = initial;
  }

  /** Number of replicas needed as of the last observation; may be fractional. */
  get replicas(): number {
    return this.#need;
  }

  /**
   * Updates the estimate with the current load.
   *
   * @returns number of replicas needed; may be fractional
   */
  observe({ inFlight, slots, most }: ServiceLoad): number {
    const { targetUse, holdMs, decayMs } = this.options;
    const nowMs = this.clock();
    const neededNow = Math.min(
      most,
      inFlight / (Math.max(1, slots) * targetUse),
    );
    const previous = this.#need;
    const sinceMs = nowMs - this.#observedMs;
    this.#observedMs = nowMs;
    const isHeld = inFlight === 0 || nowMs - this.#peakMs < holdMs;
    const kept =
      isHeld || sinceMs > holdMs
        ? previous
        : previous * Math.exp(-sinceMs / decayMs);
    const isFirst = this.#peakMs === -Infinity;
    if (inFlight > 0 && (neededNow >= kept || isFirst)) {
      this.#peakMs = nowMs;
    }
    this.#need = Math.max(kept, neededNow);
    return this.#need;
  }
}
