const MS_PER_SECOND = 1000;

/** How many tokens a bucket may save up, and whether it starts full. */
export interface BurstRule {
  /** Largest number of tokens in a bucket with the given refill rate. */
  readonly capacity: (perSecond: number) => number;
  readonly startsFull: boolean;
}

/** Allows a burst of two seconds' refill; the bucket starts full. */
const TWO_SECOND_BURST: BurstRule = {
  capacity: perSecond => 2 * perSecond,
  startsFull: true,
};

/**
 * Token bucket that may go into debt when a request turns out larger than
 * expected.
 */
export class TokenBucket {
  #level: number;
  #updatedAtMs: number;
  #perSecond: number;

  /**
   * @param perSecond - refill rate, in tokens a second
   * @param nowMs - present time
   * @param burst - how many tokens it may save up
   */
  constructor(
    perSecond: number,
    nowMs: number,
    private readonly burst: BurstRule = TWO_SECOND_BURST,
  ) {
    this.#perSecond = perSecond;
    this.#level = burst.startsFull ? burst.capacity(perSecond) : 0;
    this.#updatedAtMs = nowMs;
  }

  /** Changes the refill rate and cuts the level to the new capacity. */
  setRate(perSecond: number, nowMs: number): void {
    this.#refill(nowMs);
    this.#perSecond = perSecond;
    this.#level = Math.min(this.#level, this.burst.capacity(perSecond));
  }

  /** Number of tokens in the bucket; negative in debt. */
  level(nowMs: number): number {
    this.#refill(nowMs);
    return this.#level;
  }

  /**
   * Time until the bucket holds a whole token, in milliseconds; 0 unless it is
   * empty or in debt.
   */
  waitMs(nowMs: number): number {
    return this.level(nowMs) > 0 ? 0 : this.timeToMs(1, nowMs);
  }

  /**
   * Time until the bucket holds a number of tokens, in milliseconds.
   *
   * @returns Infinity if the refill rate is 0
   */
  timeToMs(tokens: number, nowMs: number): number {
    const missing = tokens - this.level(nowMs);
    if (missing <= 0) {
      return 0;
    }
    return this.#perSecond === 0
      ? Infinity
      : (missing / this.#perSecond) * MS_PER_SECOND;
  }

  /** Takes tokens, into debt if necessary; a negative amount returns tokens. */
  take(amount: number): void {
    this.#level -= amount;
  }

  /** Drops the saved tokens; a debt remains. */
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
