import type { SoakInvariant } from './SoakInvariant.js';

/** Statuses which state that a request was not and will not be executed. */
const NOT_EXECUTED_STATUSES: readonly (number | null)[] = [408, 421, 429, 503];

/** A request that was refused was not executed. */
export const trueRefusals: SoakInvariant = {
  name: 'true-refusals',
  description:
    'A request that must not be repeated was not executed if it was refused.',
  timed: false,
  check: ({ sent, answers }, index) =>
    sent
      .filter(({ kind }) => kind === 'unsafe' || kind === 'stream')
      .filter(({ id }) =>
        NOT_EXECUTED_STATUSES.includes(answers.get(id)?.status ?? null),
      )
      .filter(({ id }) => index.executionsOf(id).length > 0)
      .map(({ id }) => ({
        request: id,
        what: `refused with ${answers.get(id)?.status ?? 0} although it was executed`,
      })),
};
