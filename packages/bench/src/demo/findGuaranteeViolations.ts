import type { FinishedCall } from '../load/LoadRunner.js';

/** How often each idempotency key ran at the plain services. */
export type RunCounts = ReadonlyMap<string, number>;

function wrongAnswers(calls: readonly FinishedCall[]): readonly string[] {
  return calls
    .filter(({ answer }) => answer.fault !== null)
    .map(
      ({ stream, answer, idempotencyKey }) =>
        `${stream.requestClass} ${idempotencyKey}: ${answer.fault ?? ''}`,
    );
}

function ranThoughNotRun(
  calls: readonly FinishedCall[],
  runs: RunCounts,
): readonly string[] {
  return calls
    .filter(
      ({ stream, answer, idempotencyKey }) =>
        'service' in stream.target &&
        answer.ran === 'no' &&
        (runs.get(idempotencyKey) ?? 0) > 0,
    )
    .map(({ idempotencyKey }) => `${idempotencyKey}: told "not run" but ran`);
}

function ranTwice(runs: RunCounts): readonly string[] {
  return [...runs]
    .filter(([, count]) => count > 1)
    .map(([key, count]) => `${key}: non-idempotent but ran ${count} times`);
}

/** Result code of an answer that broke off after its first tokens. */
const STREAM_CUT = 3003;

function cutHighestTier(
  calls: readonly FinishedCall[],
  tierOf: (requestClass: string) => number,
): readonly string[] {
  return calls
    .filter(
      ({ stream, answer }) =>
        tierOf(stream.requestClass) === 1 && answer.code === STREAM_CUT,
    )
    .map(({ idempotencyKey }) => `${idempotencyKey}: a tier-1 stream was cut`);
}

/**
 * Holds what callers saw against what must always hold.
 *
 * @param calls - every finished call
 * @param runs - runs counted by the plain services
 * @param tierOf - tier of a class
 * @returns one line for each broken promise
 */
export function findBrokenPromises(
  calls: readonly FinishedCall[],
  runs: RunCounts,
  tierOf: (requestClass: string) => number,
): readonly string[] {
  return [
    ...wrongAnswers(calls),
    ...ranThoughNotRun(calls, runs),
    ...ranTwice(runs),
    ...cutHighestTier(calls, tierOf),
  ];
}
