import type { SoakInvariant } from './SoakInvariant.js';

/** A request that must not be repeated is executed at most once. */
export const atMostOnce: SoakInvariant = {
  name: 'at-most-once',
  description:
    'An unsafe request, or a stream that cannot be resumed, is executed at most once.',
  timed: false,
  check: ({ sent }, index) =>
    sent
      .filter(({ kind }) => kind === 'unsafe' || kind === 'stream')
      .filter(({ id }) => index.executionsOf(id).length > 1)
      .map(({ id }) => ({
        request: id,
        what: `executed at ${index
          .executionsOf(id)
          .map(({ replica }) => replica)
          .join(', ')}`,
      })),
};
