import type { Clock } from '../blackboard/Blackboard.js';

/**
 * Smoothed amount per millisecond, with exponential decay.
 *
 * The time constant says how long an amount counts.
 */
export class DemandRate {
  #sum = 0;
  #atMs: number;

  /**
   * @param clock - the local steady clock
   * @param timeConstantMs - time in which an old amount falls to 37 in 100
   */
  constructor(
    private readonly clock: Clock,
    private readonly timeConstantMs: number,
  ) {
    this.#atMs = clock();
  }

  /** Smoothed amount per millisecond. */
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
