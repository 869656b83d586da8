/**
 * Records when the chunks of a response arrived, across all replicas that
 * contributed to it.
 */
export class ResponseTimings {
  #firstByteMs: number | null = null;
  #lastByteMs: number | null = null;
  #longestPauseMs = 0;

  /** @param clock - monotonic clock, in milliseconds */
  constructor(private readonly clock: () => number) {}

  /**
   * Reading of the clock at the first byte, in milliseconds; null before it
   * arrived.
   */
  get firstByteMs(): number | null {
    return this.#firstByteMs;
  }

  /**
   * Longest pause between two chunks in milliseconds, including a change of
   * replica.
   */
  get longestPauseMs(): number {
    return this.#longestPauseMs;
  }

  /** Records the arrival of a chunk. */
  onChunk(): void {
    const nowMs = this.clock();
    const pauseMs = nowMs - (this.#lastByteMs ?? nowMs);
    this.#longestPauseMs = Math.max(this.#longestPauseMs, pauseMs);
    this.#lastByteMs = nowMs;
    this.#firstByteMs ??= nowMs;
  }
}
