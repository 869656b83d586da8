import type { FinishedCall } from '../load/LoadRunner.js';

/** Number of runs on the plain services for each idempotency key. */
export type RunCounts = ReadonlyMap<string, number>;

function faultyAnswers(calls: readonly FinishedCall[]): readonly string[] {
  return calls
    .filter(({ answer }) => answer.fault !== null)
    .map(
      ({ stream, answer, idempotencyKey }) =>
        `${stream.requestClass} ${idempotencyKey}: ${answer.fault ?? ''}`,
    );
}

function ranDespiteNotRunReply(
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

function ranMoreThanOnce(runs: RunCounts): readonly string[] {
  return [...runs]
    .filter(([, count]) => count > 1)
    .map(([key, count]) => `${key}: non-idempotent but ran ${count} times`);
}

/** Result code of an answer that was interrupted after its first token. */
const STREAM_CUT_CODE = 3003;

function cutTierOneStreams(
  calls: readonly FinishedCall[],
  tierOf: (requestClass: string) => number,
): readonly string[] {
  return calls
    .filter(
      ({ stream, answer }) =>
        tierOf(stream.requestClass) === 1 && answer.code === STREAM_CUT_CODE,
    )
    .map(({ idempotencyKey }) => `${idempotencyKey}: a tier-1 stream was cut`);
}

/**
 * Checks what callers observed against the guarantees of the system: answers
 * without faults, no run after a "not run" reply, at most one run for each
 * idempotency key, and no interrupted stream in tier 1.
 *
 * @param calls - all finished calls
 * @param runs - runs counted by the plain services
 * @param tierOf - returns the tier of a request class
 * @returns one line for each violation
 */
export function findGuaranteeViolations(
  calls: readonly FinishedCall[],
  runs: RunCounts,
  tierOf: (requestClass: string) => number,
): readonly string[] {
  return [
    ...faultyAnswers(calls),
    ...ranDespiteNotRunReply(calls, runs),
    ...ranMoreThanOnce(runs),
    ...cutTierOneStreams(calls, tierOf),
  ];
}
