const BURST_SECONDS = 2;
const MS_PER_SECOND = 1000;

/** Rate limiter that may go into debt when work turns out longer than expected. */
export class TokenBucket {
  #level: number;
  #updatedAtMs: number;
  #perSecond: number;

  /**
   * @param perSecond - refill rate
   * @param nowMs - present time
   */
  constructor(perSecond: number, nowMs: number) {
    this.#perSecond = perSecond;
    this.#level = perSecond * BURST_SECONDS;
    this.#updatedAtMs = nowMs;
  }

  /** Changes the refill rate; the level is cut to the new burst size. */
  setRate(perSecond: number, nowMs: number): void {
    this.#refill(nowMs);
    this.#perSecond = perSecond;
    this.#level = Math.min(this.#level, perSecond * BURST_SECONDS);
  }

  /** @returns milliseconds until the bucket is out of debt; 0 when it is */
  waitMs(nowMs: number): number {
    this.#refill(nowMs);
    if (this.#level > 0) {
      return 0;
    }
    return this.#perSecond === 0
      ? Infinity
      : ((1 - this.#level) / this.#perSecond) * MS_PER_SECOND;
  }

  /** Takes an amount, into debt if need be; a negative amount gives back. */
  take(amount: number): void {
    this.#level -= amount;
  }

  #refill(nowMs: number): void {
    const elapsed = Math.max(0, nowMs - this.#updatedAtMs) / MS_PER_SECOND;
    this.#level = Math.min(
      this.#perSecond * BURST_SECONDS,
      this.#level + elapsed * this.#perSecond,
    );
    this.#updatedAtMs = nowMs;
  }
}
