interface Reading<T> {
  readonly atMs: number;
  readonly value: T;
}

/** Shows a value as it was some time ago. */
export class Lagging<T> {
  readonly #readings: Reading<T>[] = [];

  constructor(
    private readonly lagMs: number,
    initial: T,
  ) {
    this.#readings.push({ atMs: -Infinity, value: initial });
  }

  record(value: T, nowMs: number): void {
    this.#readings.push({ atMs: nowMs, value });
    this.#trim(nowMs);
  }

  /** @returns the latest reading that is old enough, with its time */
  read(nowMs: number): Reading<T> {
    this.#trim(nowMs);
    const [first] = this.#readings;
    if (!first) {
      throw new Error('A lagging value always keeps one reading.');
    }
    return first;
  }

  #trim(nowMs: number): void {
    const next = this.#readings.findLastIndex(
      ({ atMs }) => atMs <= nowMs - this.lagMs,
    );
    this.#readings.splice(0, Math.max(0, next));
  }
}
