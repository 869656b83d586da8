import { createRandom } from '@jujubecroft/types';

import { nextArrivalMs } from '../load/nextArrivalMs.js';
import type { Scenario, SimStream } from './Scenario.js';

/** One call, generated before the run so that all arms get the same calls. */
export interface Arrival {
  readonly id: string;
  readonly atMs: number;
  readonly stream: SimStream;
  /** Index of the instance that receives the call. */
  readonly instance: number;
  readonly prefixHash: number;
  readonly outputTokens: number;
  /**
   * Time after which the caller disconnects by choice; Infinity for most
   * callers.
   */
  readonly withdrawsAfterMs: number;
  /** Service time if the call goes to a plain service. */
  readonly serviceMs: number;
}

const MS_PER_SECOND = 1000;
const MIN_ANSWER_TOKENS = 4;
const MAX_ANSWER_TOKENS = 4000;
const SEED_MULTIPLIER = 7919;
const PREFIX_HASHES_PER_STREAM = 65_536;

/**
 * Draws an answer length from a Weibull distribution with the stream's mean and
 * shape.
 */
function drawLength(stream: SimStream, random: () => number): number {
  const { meanTokens, lengthShape } = stream;
  const scale = meanTokens / approximateGamma(1 + 1 / lengthShape);
  const drawn = scale * (-Math.log(1 - random())) ** (1 / lengthShape);
  return Math.min(
    MAX_ANSWER_TOKENS,
    Math.max(MIN_ANSWER_TOKENS, Math.round(drawn)),
  );
}

/**
 * Gamma function by Stirling's series, accurate enough to preserve the mean
 * length.
 */
function approximateGamma(x: number): number {
  if (x < 7) {
    return approximateGamma(x + 1) / x;
  }
  const series = 1 + 1 / (12 * x) + 1 / (288 * x * x);
  return Math.sqrt((2 * Math.PI) / x) * (x / Math.E) ** x * series;
}

function drawStream(
  scenario: Scenario,
  stream: SimStream,
  index: number,
  seed: number,
): readonly Arrival[] {
  const random = createRandom(seed * SEED_MULTIPLIER + index + 1);
  const arrivals: Arrival[] = [];
  const endMs = scenario.seconds * MS_PER_SECOND;
  let atMs = nextArrivalMs(stream, 0, random);
  while (atMs < endMs) {
    const isEarlyLeaver = random() < stream.earlyLeaveShare;
    arrivals.push({
      id: `${index}-${arrivals.length}`,
      atMs,
      stream,
      instance: Math.floor(random() * scenario.instances),
      prefixHash:
        index * PREFIX_HASHES_PER_STREAM +
        Math.floor(random() * stream.prefixCount),
      outputTokens: drawLength(stream, random),
      withdrawsAfterMs: isEarlyLeaver ? random() * stream.patienceMs : Infinity,
      serviceMs: -Math.log(1 - random()) * scenario.serviceMeanMs,
    });
    atMs = nextArrivalMs(stream, atMs, random);
  }
  return arrivals;
}

/**
 * Generates all calls of a scenario at random.
 *
 * @param scenario - scenario with its streams and length
 * @param seed - random seed; the same seed gives the same calls
 * @returns calls in order of arrival
 */
export function drawArrivals(
  scenario: Scenario,
  seed: number,
): readonly Arrival[] {
  return scenario.streams
    .flatMap((stream, index) => drawStream(scenario, stream, index, seed))
    .sort((a, b) => a.atMs - b.atMs);
}
