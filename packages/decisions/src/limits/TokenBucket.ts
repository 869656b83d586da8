const MS_PER_SECOND = 1000;

/** How much a bucket may save up, and whether it begins with that. */
export interface BurstRule {
  /** Tokens that a bucket with a refill rate holds, at most. */
  readonly capacity: (perSecond: number) => number;
  readonly startsFull: boolean;
}

/** What two seconds bring, from the beginning. */
const TWO_SECONDS: BurstRule = {
  capacity: perSecond => 2 * perSecond,
  startsFull: true,
};

/** Rate limiter that may go into debt when work turns out longer than expected. */
export class TokenBucket {
  #level: number;
  #updatedAtMs: number;
  #perSecond: number;

  /**
   * @param perSecond - refill rate
   * @param nowMs - present time
   * @param burst - how much it may save up
   */
  constructor(
    perSecond: number,
    nowMs: number,
    private readonly burst: BurstRule = TWO_SECONDS,
  ) {
    this.#perSecond = perSecond;
    this.#level = burst.startsFull ? burst.capacity(perSecond) : 0;
    this.#updatedAtMs = nowMs;
  }

  /** Changes the refill rate; the level is cut to the new burst size. */
  setRate(perSecond: number, nowMs: number): void {
    this.#refill(nowMs);
    this.#perSecond = perSecond;
    this.#level = Math.min(this.#level, this.burst.capacity(perSecond));
  }

  /** Tokens that are there; negative in debt. */
  level(nowMs: number): number {
    this.#refill(nowMs);
    return this.#level;
  }

  /** @returns milliseconds until the bucket is out of debt; 0 when it is */
  waitMs(nowMs: number): number {
    return this.level(nowMs) > 0 ? 0 : this.timeToMs(1, nowMs);
  }

  /** @returns milliseconds until so many tokens are there; infinity for never */
  timeToMs(tokens: number, nowMs: number): number {
    const missing = tokens - this.level(nowMs);
    if (missing <= 0) {
      return 0;
    }
    return this.#perSecond === 0
      ? Infinity
      : (missing / this.#perSecond) * MS_PER_SECOND;
  }

  /** Takes an amount, into debt if need be; a negative amount gives back. */
  take(amount: number): void {
    this.#level -= amount;
  }

  /** Drops what was saved up. */
  empty(): void {
    this.#level = Math.min(0, this.#level);
  }

  #refill(nowMs: number): void {
    const elapsed = Math.max(0, nowMs - this.#updatedAtMs) / MS_PER_SECOND;
    this.#level = Math.min(
      this.burst.capacity(this.#perSecond),
      this.#level + elapsed * this.#perSecond,
    );
    this.#updatedAtMs = nowMs;
  }
}
