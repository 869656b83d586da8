/** When the pieces of an answer came, over all replicas that took part in it. */
export class AnswerTimes {
  #firstByteMs: number | null = null;
  #lastByteMs: number | null = null;
  #longestPauseMs = 0;

  /** @param clock - steady, in milliseconds */
  constructor(private readonly clock: () => number) {}

  /** When the first byte came; null before. */
  get firstByteMs(): number | null {
    return this.#firstByteMs;
  }

  /** Longest pause between two pieces, from one replica to the next as well. */
  get longestPauseMs(): number {
    return this.#longestPauseMs;
  }

  /** Notes a piece. */
  onPiece(): void {
    const nowMs = this.clock();
    const pauseMs = nowMs - (this.#lastByteMs ?? nowMs);
    this.#longestPauseMs = Math.max(this.#longestPauseMs, pauseMs);
    this.#lastByteMs = nowMs;
    this.#firstByteMs ??= nowMs;
  }
}
