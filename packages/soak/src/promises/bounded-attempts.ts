import type { SoakPromise } from './SoakPromise.js';

/** A request does not run at more replicas than its route allows. */
export const boundedAttempts: SoakPromise = {
  name: 'bounded-attempts',
  description: 'A request runs at no more replicas than its route allows.',
  timed: false,
  check: ({ sent, bounds }, index) =>
    sent
      .filter(({ id }) => index.runsOf(id).length > bounds.attempts)
      .map(({ id }) => ({
        request: id,
        what: `ran ${index.runsOf(id).length} times`,
      })),
};
