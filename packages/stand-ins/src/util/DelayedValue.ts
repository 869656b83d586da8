interface Reading<T> {
  readonly atMs: number;
  readonly value: T;
}

/** A value that becomes visible to readers only after a delay. */
export class DelayedValue<T> {
  readonly #readings: Reading<T>[] = [];

  constructor(
    private readonly lagMs: number,
    initial: T,
  ) {
    this.#readings.push({ atMs: -Infinity, value: initial });
  }

  /** Records the value at a time; calls must be in order of time. */
  record(value: T, nowMs: number): void {
    this.#readings.push({ atMs: nowMs, value });
    this.#dropOutdated(nowMs);
  }

  /**
   * @param nowMs - current time
   * @returns the latest reading that is at least `lagMs` old, with the time at
   *   which it was recorded; the initial value has the time -Infinity
   */
  read(nowMs: number): Reading<T> {
    this.#dropOutdated(nowMs);
    const [first] = this.#readings;
    if (!first) {
      throw new Error(
        'DelayedValue has no reading; it must keep at least one.',
      );
    }
    return first;
  }

  /** Drops the readings before the one that is visible now. */
  #dropOutdated(nowMs: number): void {
    const next = this.#readings.findLastIndex(
      ({ atMs }) => atMs <= nowMs - this.lagMs,
    );
    this.#readings.splice(0, Math.max(0, next));
  }
}
