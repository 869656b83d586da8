import type { Histogram } from 'hdr-histogram-js';
import { build } from 'hdr-histogram-js';
import type { ClassId, OrganisationId } from '@jujubecroft/types';

const WINDOW_SAMPLES = 512;
const REFRESH_EVERY_SAMPLES = 16;
const MIN_SAMPLES = 8;
const MAX_TOKENS = 1_000_000;
const SIGNIFICANT_DIGITS = 2;
const DEFAULT_MEAN_TOKENS = 200;

/** Answer-length estimate in tokens. */
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
 * Learns answer lengths online, per class and per organisation within a class.
 *
 * Two alternating windows forget old traffic, so the estimate follows a change
 * of behaviour within one window of samples.
 */
export class LengthEstimator {
  readonly #windows = new Map<string, SampleWindow>();

  /**
   * Records the length of a whole answer.
   *
   * @param requestClass - class of the request
   * @param organisation - organisation of the request
   * @param tokens - length of the answer in tokens
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
   * Estimates the length of an answer that has not begun.
   *
   * @param requestClass - class of the request
   * @param organisation - organisation of the request
   * @param maxTokens - hard bound that the caller set
   * @returns the narrowest estimate with enough samples, cut at the bound
   */
  estimate(
    requestClass: ClassId,
    organisation: OrganisationId,
    maxTokens: number,
  ): LengthEstimate {
    const learnt =
      this.#windows.get(`${requestClass}/${organisation}`)?.estimate ??
      this.#windows.get(requestClass)?.estimate;
    const { mean, p90 } = learnt ?? {
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
