/**
 * Notes by how much a regular timer is late.
 *
 * An instance that is short of processor looks sound to itself: every request that
 * it reads is handled at once. How late its timers are tells that it reads late.
 */
export class LoopDelays {
  #lastMs: number;
  #longestMs = 0;

  /**
   * @param clock - steady clock in milliseconds
   * @param periodMs - of the timer
   */
  constructor(
    private readonly clock: () => number,
    private readonly periodMs: number,
  ) {
    this.#lastMs = clock();
  }

  /** Called by the timer. */
  note(): void {
    const nowMs = this.clock();
    const lateMs = nowMs - this.#lastMs - this.periodMs;
    this.#lastMs = nowMs;
    this.#longestMs = Math.max(this.#longestMs, lateMs);
  }

  /** @returns the longest delay since the last call, in milliseconds */
  takeLongestMs(): number {
    const longestMs = this.#longestMs;
    this.#longestMs = 0;
    return longestMs;
  }
}
