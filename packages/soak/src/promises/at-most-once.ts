import type { SoakPromise } from './SoakPromise.js';

/** What may not be repeated runs once at most. */
export const atMostOnce: SoakPromise = {
  name: 'at-most-once',
  description:
    'An unsafe request, or a stream that cannot be resumed, runs at most once.',
  timed: false,
  check: ({ sent }, index) =>
    sent
      .filter(({ kind }) => kind === 'unsafe' || kind === 'stream')
      .filter(({ id }) => index.runsOf(id).length > 1)
      .map(({ id }) => ({
        request: id,
        what: `ran at ${index
          .runsOf(id)
          .map(({ replica }) => replica)
          .join(', ')}`,
      })),
};
