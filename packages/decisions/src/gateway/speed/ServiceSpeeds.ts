import type { RouteId } from '@jujubecroft/types';

import type { BackendLoad } from '../BackendLoad.js';
import type { SampleRule, SpeedClass } from './ReplicaSpeed.js';
import { ReplicaSpeed } from './ReplicaSpeed.js';

/** Smoothing factor of the interval between events of a route. */
const INTERVAL_WEIGHT = 0.03;
/** Interval between events assumed before any was measured, in milliseconds. */
const INITIAL_INTERVAL_MS = 30;
/**
 * Share by which work takes longer on a replica whose slots are all taken than on
 * an empty one. The engines of the replays have 0.26 to 0.37 with 12 and 128
 * slots.
 */
const FULL_EXTRA = 0.3;
/** Samples from which on a replica has its full weight in the mean of the service. */
const FULL_WEIGHT_SAMPLES = 8;
/**
 * Factor of the time of work by class, for decisions on which all instances have
 * to agree. These are the usual factors of the two kinds of hosts, divided by
 * their mean.
 */
const CLASS_FACTORS: Readonly<Record<SpeedClass, number>> = {
  fast: 0.7,
  usual: 1,
  slow: 1.65,
};

/** Factor by which the requests running at a replica lengthen its work. */
function fullnessOf(load: BackendLoad): number {
  const slots = Math.max(1, load.replica.slots);
  return 1 + FULL_EXTRA * Math.min(1, load.totalInFlight / slots);
}

/** Speeds of the replicas of one service, and what it usually takes. */
export class ServiceSpeeds {
  readonly #speeds = new Map<BackendLoad, ReplicaSpeed>();
  readonly #intervals = new Map<RouteId, number>();
  #isStale = true;

  /** The speeds of all replicas of which any is known. */
  get known(): ReadonlyMap<BackendLoad, ReplicaSpeed> {
    return this.#speeds;
  }

  /** The speed of a replica, created if none is known. */
  of(load: BackendLoad): ReplicaSpeed {
    const known = this.#speeds.get(load);
    if (known) {
      return known;
    }
    const speed = new ReplicaSpeed();
    this.#speeds.set(load, speed);
    return speed;
  }

  /** Time of work of a replica relative to the mean; above 1 is slow. */
  factorOf(load: BackendLoad): number {
    return this.#speeds.get(load)?.factor ?? 1;
  }

  /** Class of the speed of a replica. */
  readonly classOf = (load: BackendLoad): SpeedClass =>
    this.#speeds.get(load)?.speedClass ?? 'usual';

  /**
   * Work that a replica does in the time in which a usual one does 1, by its class.
   */
  readonly capacityOf = (load: BackendLoad): number =>
    1 / CLASS_FACTORS[this.classOf(load)];

  /**
   * Records a measurement of the time of a unit of work.
   *
   * @param load - load of the replica that did it
   * @param ms - the time, in milliseconds
   * @param nowMs - local time
   * @param rule - how measurements are combined
   */
  measure(
    load: BackendLoad,
    ms: number,
    nowMs: number,
    rule: SampleRule,
  ): void {
    const isSample = this.of(load).measure(ms, nowMs, rule, () =>
      fullnessOf(load),
    );
    this.#isStale ||= isSample;
  }

  /** Records the interval between two events of a stream, in milliseconds. */
  onInterval(route: RouteId, load: BackendLoad, ms: number): void {
    const { factor, fullness } = this.of(load);
    const before = this.#intervals.get(route) ?? INITIAL_INTERVAL_MS;
    const usualMs = ms / (factor * fullness);
    this.#intervals.set(route, before + INTERVAL_WEIGHT * (usualMs - before));
  }

  /**
   * Predicts the interval between the events of a stream.
   *
   * @param route - route of the request
   * @param load - load of the replica
   * @returns the interval in milliseconds
   */
  intervalMs(route: RouteId, load: BackendLoad): number {
    const usualMs = this.#intervals.get(route) ?? INITIAL_INTERVAL_MS;
    return usualMs * this.factorOf(load) * fullnessOf(load);
  }

  /** Removes what is known of a replica, and marks the factors as out of date. */
  forget(load: BackendLoad): void {
    if (this.#speeds.delete(load)) {
      this.#isStale = true;
    }
  }

  /** Marks the factors as out of date. */
  markStale(): void {
    this.#isStale = true;
  }

  /**
   * Brings the factors and classes up to date.
   *
   * @param isCurrent - whether a load is of a replica that is in use
   * @param nowMs - local time
   */
  refresh(isCurrent: (load: BackendLoad) => boolean, nowMs: number): void {
    if (!this.#isStale) {
      return;
    }
    this.#isStale = false;
    let weights = 0;
    let sum = 0;
    this.#speeds.forEach(({ estimate }, load) => {
      if (!isCurrent(load)) {
        this.#speeds.delete(load);
      } else if (estimate) {
        const weight = Math.min(FULL_WEIGHT_SAMPLES, estimate.samples);
        weights += weight;
        sum += weight * estimate.unitMs;
      }
    });
    this.#speeds.forEach(speed => {
      speed.relateTo(sum / weights, nowMs);
    });
  }
}
