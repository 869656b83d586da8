/**
 * Measures by how much a periodic timer is late.
 *
 * The response times that an overloaded instance measures look normal, since
 * they start when it reads a request. The delay of its timers shows that it
 * reads late.
 */
export class EventLoopDelayMonitor {
  #lastMs: number;
  #longestMs = 0;

  /**
   * @param clock - monotonic clock, in milliseconds
   * @param periodMs - period of the timer, in milliseconds
   */
  constructor(
    private readonly clock: () => number,
    private readonly periodMs: number,
  ) {
    this.#lastMs = clock();
  }

  /**
   * Records a run of the timer; call it once per period.
   *
   * @returns the delay of this run, in milliseconds
   */
  note(): number {
    const nowMs = this.clock();
    const delayMs = nowMs - this.#lastMs - this.periodMs;
    this.#lastMs = nowMs;
    this.#longestMs = Math.max(this.#longestMs, delayMs);
    return delayMs;
  }

  /**
   * Returns and resets the longest delay.
   *
   * @returns longest delay since the last call, in milliseconds
   */
  takeLongestMs(): number {
    const longestMs = this.#longestMs;
    this.#longestMs = 0;
    return longestMs;
  }
}
