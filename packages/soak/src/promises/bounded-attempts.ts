import type { SoakInvariant } from './SoakInvariant.js';

/** A request is executed at no more replicas than its route allows. */
export const boundedAttempts: SoakInvariant = {
  name: 'bounded-attempts',
  description:
    'A request is executed at no more replicas than its route allows.',
  timed: false,
  check: ({ sent, bounds }, index) =>
    sent
      .filter(({ id }) => index.executionsOf(id).length > bounds.attempts)
      .map(({ id }) => ({
        request: id,
        what: `executed ${index.executionsOf(id).length} times`,
      })),
};
