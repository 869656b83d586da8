import type { Clock } from '../blackboard/Blackboard.js';

/**
 * Rate of an amount per millisecond, smoothed by exponential decay.
 *
 * The time constant determines how long an amount contributes to the rate.
 */
export class DemandRate {
  #sum = 0;
  #atMs: number;

  /**
   * @param clock - the local monotonic clock
   * @param timeConstantMs - time in which the contribution of an amount falls
   *   to 37 %
   */
  constructor(
    private readonly clock: Clock,
    private readonly timeConstantMs: number,
  ) {
    this.#atMs = clock();
  }

  /** Current rate per millisecond. */
  get perMs(): number {
    this.#decay();
    return this.#sum / this.timeConstantMs;
  }

  add(amount: number): void {
    this.#decay();
    this.#sum += amount;
  }

  #decay(): void {
    const nowMs = this.clock();
    this.#sum *= Math.exp((this.#atMs - nowMs) / this.timeConstantMs);
    this.#atMs = nowMs;
  }
}
