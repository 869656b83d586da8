import type { Histogram } from 'hdr-histogram-js';
import { build } from 'hdr-histogram-js';
import type { ClassId, OrganisationId } from '@jujubecroft/types';

/** Samples in one window. */
const WINDOW_SAMPLES = 512;
/** Samples after which an estimate is recomputed. */
const REFRESH_EVERY_SAMPLES = 16;
/** Samples needed for a first estimate. */
const MIN_SAMPLES = 8;
/** Upper bound of a recorded length. */
const MAX_TOKENS = 1_000_000;
/** Precision of the histograms. */
const SIGNIFICANT_DIGITS = 2;
/** Mean assumed while there are too few samples; twice this is assumed for the p90. */
const DEFAULT_MEAN_TOKENS = 200;

/** Estimated length of a response, in tokens. */
export interface LengthEstimate {
  readonly mean: number;
  readonly p90: number;
}

interface SampleWindow {
  current: Histogram;
  previous: Histogram | null;
  sampleCount: number;
  estimate: LengthEstimate | null;
}

function newHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_TOKENS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    bitBucketSize: 32,
  });
}

function estimateOf(window: SampleWindow): LengthEstimate {
  const merged = newHistogram();
  merged.add(window.current);
  if (window.previous) {
    merged.add(window.previous);
  }
  return { mean: merged.mean, p90: merged.getValueAtPercentile(90) };
}

/**
 * Estimates response lengths from recent traffic, per request class and per organisation
 * within a class.
 *
 * An estimate covers the current and the previous window of samples, so that it follows
 * a change of the traffic within one window.
 */
export class LengthEstimator {
  readonly #windows = new Map<string, SampleWindow>();

  /**
   * Records the length of a complete response.
   *
   * @param requestClass - class of the request
   * @param organisation - organisation of the request
   * @param tokens - length of the response in tokens
   */
  record(
    requestClass: ClassId,
    organisation: OrganisationId,
    tokens: number,
  ): void {
    const value = Math.min(MAX_TOKENS, Math.max(1, Math.round(tokens)));
    this.#recordSample(requestClass, value);
    this.#recordSample(`${requestClass}/${organisation}`, value);
  }

  /**
   * Estimates the length of a response that has not started.
   *
   * @param requestClass - class of the request
   * @param organisation - organisation of the request
   * @param maxTokens - upper bound of the length
   * @returns the most specific estimate with enough samples, limited to the bound
   */
  estimate(
    requestClass: ClassId,
    organisation: OrganisationId,
    maxTokens: number,
  ): LengthEstimate {
    const learned =
      this.#windows.get(`${requestClass}/${organisation}`)?.estimate ??
      this.#windows.get(requestClass)?.estimate;
    const { mean, p90 } = learned ?? {
      mean: DEFAULT_MEAN_TOKENS,
      p90: 2 * DEFAULT_MEAN_TOKENS,
    };
    return { mean: Math.min(mean, maxTokens), p90: Math.min(p90, maxTokens) };
  }

  #recordSample(key: string, value: number): void {
    const window = this.#windowOf(key);
    window.current.recordValue(value);
    window.sampleCount += 1;
    if (
      window.sampleCount >= MIN_SAMPLES &&
      window.sampleCount % REFRESH_EVERY_SAMPLES === 0
    ) {
      window.estimate = estimateOf(window);
    }
    if (window.sampleCount % WINDOW_SAMPLES === 0) {
      window.previous = window.current;
      window.current = newHistogram();
    }
  }

  #windowOf(key: string): SampleWindow {
    const known = this.#windows.get(key);
    if (known) {
      return known;
    }
    const window: SampleWindow = {
      current: newHistogram(),
      previous: null,
      sampleCount: 0,
      estimate: null,
    };
    this.#windows.set(key, window);
    return window;
  }
}
