import { createRandom } from '@jujubecroft/types';

import { nextArrivalMs } from '../load/nextArrivalMs.js';
import type { Scenario, SimStream } from './Scenario.js';

/** One call, drawn before the run so that every arm sees the same calls. */
export interface Arrival {
  readonly id: string;
  readonly atMs: number;
  readonly stream: SimStream;
  readonly instance: number;
  readonly prefixHash: number;
  readonly outputTokens: number;
  /** When the caller leaves whatever happens; Infinity for most. */
  readonly leavesAfterMs: number;
  /** Service time at a plain service. */
  readonly serviceMs: number;
}

const MS_PER_SECOND = 1000;
const MIN_TOKENS = 4;
const MAX_TOKENS = 4000;
const SEED_STEP = 7919;
const PREFIX_STEP = 65_536;

/** Weibull: shape 1 is exponential; the mean is kept for heavier tails. */
function drawLength(stream: SimStream, random: () => number): number {
  const { meanTokens, lengthShape } = stream;
  const scale = meanTokens / gammaNear(1 + 1 / lengthShape);
  const drawn = scale * (-Math.log(1 - random())) ** (1 / lengthShape);
  return Math.min(MAX_TOKENS, Math.max(MIN_TOKENS, Math.round(drawn)));
}

/** Stirling's series; exact enough to keep the mean of the lengths. */
function gammaNear(x: number): number {
  if (x < 7) {
    return gammaNear(x + 1) / x;
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
  const random = createRandom(seed * SEED_STEP + index + 1);
  const arrivals: Arrival[] = [];
  const endMs = scenario.seconds * MS_PER_SECOND;
  let atMs = nextArrivalMs(stream, 0, random);
  while (atMs < endMs) {
    const isFickle = random() < stream.fickle;
    arrivals.push({
      id: `${index}-${arrivals.length}`,
      atMs,
      stream,
      instance: Math.floor(random() * scenario.instances),
      prefixHash: index * PREFIX_STEP + Math.floor(random() * stream.prefixes),
      outputTokens: drawLength(stream, random),
      leavesAfterMs: isFickle ? random() * stream.patienceMs : Infinity,
      serviceMs: -Math.log(1 - random()) * scenario.serviceMeanMs,
    });
    atMs = nextArrivalMs(stream, atMs, random);
  }
  return arrivals;
}

/**
 * Draws every call of a scenario.
 *
 * @param scenario - streams and length
 * @param seed - equal seeds give equal calls
 * @returns calls in order of time
 */
export function drawArrivals(
  scenario: Scenario,
  seed: number,
): readonly Arrival[] {
  return scenario.streams
    .flatMap((stream, index) => drawStream(scenario, stream, index, seed))
    .sort((a, b) => a.atMs - b.atMs);
}
