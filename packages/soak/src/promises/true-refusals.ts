import type { SoakPromise } from './SoakPromise.js';

/** Statuses that promise that a request has not run and never will. */
const NOT_RUN: readonly (number | null)[] = [408, 421, 429, 503];

/** A refusal is only given to what did not run. */
export const trueRefusals: SoakPromise = {
  name: 'true-refusals',
  description:
    'A request that may not be repeated and was refused as not run did not run.',
  timed: false,
  check: ({ sent, answers }, index) =>
    sent
      .filter(({ kind }) => kind === 'unsafe' || kind === 'stream')
      .filter(({ id }) => NOT_RUN.includes(answers.get(id)?.status ?? null))
      .filter(({ id }) => index.runsOf(id).length > 0)
      .map(({ id }) => ({
        request: id,
        what: `refused with ${answers.get(id)?.status ?? 0} though it ran`,
      })),
};
