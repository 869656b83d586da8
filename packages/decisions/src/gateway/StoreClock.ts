import type { Clock } from '../blackboard/Blackboard.js';

/**
 * Largest assumed drift between two monotonic clocks, as a share of elapsed
 * time.
 */
const MAX_DRIFT = 0.0005;
/** Tolerance for clocks that round to whole milliseconds, in milliseconds. */
const ROUNDING_MS = 2;

/** An upper bound on the store's clock at one local time. */
interface Reading {
  readonly storeMs: number;
  /** Local time at which the bound held. */
  readonly atMs: number;
}

/**
 * An instance's estimate of the store's clock.
 *
 * Instances tell each other the time on the store's clock at which a view was
 * current. If they sent its age instead, the time in transit and in queues
 * would be lost, and a view relayed by several busy instances would seem much
 * younger than it is.
 *
 * The estimate is an upper bound: at the time a request to the store was sent,
 * its clock had not yet passed the time given in the answer. Computed ages are
 * therefore never too short, and too long by at most the time that the fastest
 * request took to reach the store, plus clock drift.
 */
export class StoreClock {
  #reading: Reading | null = null;

  constructor(private readonly clock: Clock) {}

  /**
   * Upper bound on the store's clock now; infinite before the first reading.
   */
  get latestMs(): number {
    return this.#reading ? this.#upperBoundFrom(this.#reading) : Infinity;
  }

  /**
   * Returns an upper bound on how long ago a time on the store's clock was.
   *
   * @param storeMs - time on the store's clock
   * @returns the age in milliseconds; infinite if the store's clock is not
   *   known
   */
  ageOf(storeMs: number): number {
    return Math.max(0, this.latestMs - storeMs);
  }

  /**
   * Records a reading of the store's clock, or an upper bound on it. A reading
   * that does not tighten the current bound is ignored.
   *
   * A reading ahead of the current bound shows that this instance was suspended
   * in the meantime or that the store's clock has changed. Earlier readings are
   * then discarded.
   *
   * @param storeMs - time on the store's clock, from an answer
   * @param askedMs - local time at which the request was sent
   */
  read(storeMs: number, askedMs: number): void {
    const reading = { storeMs, atMs: askedMs };
    if (
      this.isAhead(storeMs) ||
      this.#upperBoundFrom(reading) < this.latestMs
    ) {
      this.#reading = reading;
    }
  }

  /**
   * Whether a time that the store's clock has shown is later than the current
   * bound permits.
   *
   * @param storeMs - time on the store's clock
   */
  isAhead(storeMs: number): boolean {
    return storeMs > this.latestMs + ROUNDING_MS;
  }

  /**
   * Discards the current reading. To be called after the local clock has failed
   * to count some time, for example while the process was suspended: the bound
   * is then too low.
   */
  forget(): void {
    this.#reading = null;
  }

  #upperBoundFrom({ storeMs, atMs }: Reading): number {
    return storeMs + (1 + MAX_DRIFT) * (this.clock() - atMs);
  }
}
