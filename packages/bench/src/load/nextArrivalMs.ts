/** Arrival rates of a stream, real or simulated. */
export interface StreamRates {
  readonly requestsPerSecond: number;
  readonly burst?:
    | {
        readonly startSeconds: number;
        readonly seconds: number;
        readonly factor: number;
      }
    | undefined;
}

const MS_PER_SECOND = 1000;

function rateAt(stream: StreamRates, atMs: number): number {
  const { burst, requestsPerSecond } = stream;
  const seconds = atMs / MS_PER_SECOND;
  const inBurst =
    burst !== undefined &&
    seconds >= burst.startSeconds &&
    seconds < burst.startSeconds + burst.seconds;
  return inBurst ? requestsPerSecond * burst.factor : requestsPerSecond;
}

/**
 * Draws the next arrival of a Poisson process whose rate changes during a burst.
 *
 * Candidates are drawn at the highest rate and thinned, so that a burst starts on
 * time even after a long gap.
 *
 * @param stream - rates of the stream
 * @param afterMs - time of the previous arrival, in milliseconds
 * @param random - seeded random source
 * @returns time of the next arrival, in milliseconds
 */
export function nextArrivalMs(
  stream: StreamRates,
  afterMs: number,
  random: () => number,
): number {
  const highest =
    stream.requestsPerSecond * Math.max(1, stream.burst?.factor ?? 1);
  let atMs = afterMs;
  do {
    atMs += (-Math.log(1 - random()) / highest) * MS_PER_SECOND;
  } while (random() > rateAt(stream, atMs) / highest);
  return atMs;
}
