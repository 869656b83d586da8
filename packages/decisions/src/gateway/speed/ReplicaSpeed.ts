/**
 * Class of the lasting speed of a replica. Groups and home replicas depend on the class,
 * which changes rarely, and not on the factor, which changes with each sample.
 */
export type SpeedClass = 'fast' | 'slow' | 'usual';

/** What the instances know of the lasting speed of one run of a replica. */
export interface SpeedEstimate {
  /** Number of samples and of changes of the class; of two estimates of one run, the one with more wins. */
  readonly samples: number;
  /**
   * Time of a unit of work, in milliseconds: an interval between events of a
   * stream, or a whole answer of a plain service.
   */
  readonly unitMs: number;
  readonly speedClass: SpeedClass;
}

/** How single measurements are combined into a sample. */
export interface SampleRule {
  /** Measurements for one sample. */
  readonly size: number;
  /** Position of the measurement that is used, in ascending order from 0. */
  readonly position: number;
}

/**
 * Intervals in which the engine also reads a prompt are many times as long, and
 * reads that arrive together give intervals near zero. The third of eight is
 * neither, as long as prompts are read less than some 85 % of the time.
 */
export const INTERVAL_SAMPLE: SampleRule = { size: 8, position: 2 };
/** The median of three answers, as plain services give far fewer measurements. */
export const ANSWER_SAMPLE: SampleRule = { size: 3, position: 1 };

/** Samples beyond this number replace earlier ones, so that the mean follows changes. */
const MAX_WEIGHT_SAMPLES = 48;
/** Samples from which on a single one is bounded by the mean. */
const MIN_BOUNDING_SAMPLES = 4;
/** Factor by which a bounded sample may differ from the mean. */
const MAX_SAMPLE_RATIO = 2;
/**
 * Shortest time of a unit of work, in milliseconds; the resolution of messages. Events
 * that arrive together have intervals of 0, which would make factors not a number.
 */
const MIN_UNIT_MS = 0.001;
/** Weight of the assumption that a replica is as fast as the mean, in samples. */
const PRIOR_SAMPLES = 2;
const MIN_FACTOR = 0.25;
const MAX_FACTOR = 4;
/**
 * Factors at which a replica enters and leaves a class. The distance between them
 * keeps samples with an error of some 5 % from changing it back and forth.
 */
const SLOW_FROM = 1.25;
const SLOW_UNTIL = 1.12;
const FAST_FROM = 0.85;
const FAST_UNTIL = 0.92;
/** Relative change of the mean from which on other instances are told. */
const MIN_TOLD_CHANGE = 0.08;

function classOf(factor: number, before: SpeedClass): SpeedClass {
  if (factor > (before === 'slow' ? SLOW_UNTIL : SLOW_FROM)) {
    return 'slow';
  }
  return factor < (before === 'fast' ? FAST_UNTIL : FAST_FROM)
    ? 'fast'
    : 'usual';
}

/**
 * Whether an estimate replaces another one. Every instance prefers the same one
 * of any two, so that the order and the number of messages don't matter.
 */
function isPreferred(now: SpeedEstimate, known: SpeedEstimate | null): boolean {
  if (now.samples !== known?.samples) {
    return now.samples > (known?.samples ?? 0);
  }
  return now.unitMs === known.unitMs
    ? now.speedClass < known.speedClass
    : now.unitMs < known.unitMs;
}

/** Lasting speed of one run of a replica. */
export class ReplicaSpeed {
  /** Null before the first sample of any instance. */
  estimate: SpeedEstimate | null = null;
  /** Local time at which other instances had to be told last. */
  newsMs = -Infinity;
  /**
   * Factor by which the number of running requests lengthened the last sample.
   */
  fullness = 1;
  /** Time of work relative to the mean of the service; above 1 is slow. */
  factor = 1;
  #told: SpeedEstimate | null = null;
  readonly #measured: number[] = [];

  get speedClass(): SpeedClass {
    return this.estimate?.speedClass ?? 'usual';
  }

  /**
   * Adds a measurement.
   *
   * @param ms - time of a unit of work, in milliseconds
   * @param nowMs - local time
   * @param rule - how measurements are combined
   * @param fullnessNow - computes the factor by which running requests lengthen
   *   the work; called once for each sample
   * @returns whether it completed a sample
   */
  measure(
    ms: number,
    nowMs: number,
    rule: SampleRule,
    fullnessNow: () => number,
  ): boolean {
    this.#measured.push(ms);
    if (this.#measured.length < rule.size) {
      return false;
    }
    this.#measured.sort((a, b) => a - b);
    this.fullness = fullnessNow();
    const sampleMs = (this.#measured[rule.position] ?? ms) / this.fullness;
    this.#add(Math.max(MIN_UNIT_MS, sampleMs), nowMs);
    this.#measured.length = 0;
    return true;
  }

  /**
   * Takes over the estimate of another instance if it rests on more samples.
   *
   * The next samples of this instance are added to it. An estimate that contains
   * the samples of an instance is thus never added to another one that contains
   * them too.
   *
   * @returns whether the estimate changed
   */
  merge(other: SpeedEstimate, nowMs: number): boolean {
    if (!isPreferred(other, this.estimate)) {
      return false;
    }
    this.#replace(other, nowMs);
    return true;
  }

  /**
   * Updates the factor and the class.
   *
   * @param meanMs - mean time of a unit of work over the replicas of the service
   * @param nowMs - local time
   */
  relateTo(meanMs: number, nowMs: number): void {
    const { estimate } = this;
    if (!estimate) {
      return;
    }
    const { samples, unitMs } = estimate;
    const trust = samples / (samples + PRIOR_SAMPLES);
    const factor = (unitMs / meanMs) ** trust;
    this.factor = Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, factor));
    const speedClass = classOf(this.factor, estimate.speedClass);
    if (speedClass !== estimate.speedClass) {
      // Counted as a sample, so that the change wins over the class before it.
      this.#replace({ samples: samples + 1, unitMs, speedClass }, nowMs);
    }
  }

  #add(sampleMs: number, nowMs: number): void {
    const { estimate } = this;
    if (!estimate) {
      const unitMs = sampleMs;
      this.#replace({ samples: 1, unitMs, speedClass: 'usual' }, nowMs);
      return;
    }
    const samples = estimate.samples + 1;
    const { unitMs } = estimate;
    const bounded =
      estimate.samples < MIN_BOUNDING_SAMPLES
        ? sampleMs
        : Math.min(
            unitMs * MAX_SAMPLE_RATIO,
            Math.max(unitMs / MAX_SAMPLE_RATIO, sampleMs),
          );
    const weight = 1 / Math.min(MAX_WEIGHT_SAMPLES, samples);
    const mean = unitMs + weight * (bounded - unitMs);
    this.#replace({ ...estimate, samples, unitMs: mean }, nowMs);
  }

  /** Replaces the estimate, and marks it as news if it differs much from the last. */
  #replace(estimate: SpeedEstimate, nowMs: number): void {
    this.estimate = estimate;
    const told = this.#told;
    const isNews =
      estimate.speedClass !== told?.speedClass ||
      (told.samples < MAX_WEIGHT_SAMPLES &&
        estimate.samples >= 2 * told.samples) ||
      Math.abs(estimate.unitMs - told.unitMs) > MIN_TOLD_CHANGE * told.unitMs;
    if (isNews) {
      this.#told = estimate;
      this.newsMs = nowMs;
    }
  }
}
