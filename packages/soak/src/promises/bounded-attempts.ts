import { groupBy } from '@jujubecroft/types';

import type { SoakInvariant } from './SoakInvariant.js';

/** Number of times that a request may be executed at one replica, which it may go back to once. */
const MAX_AT_ONE_REPLICA = 2;

/** A request is executed at no more replicas than its route allows. */
export const boundedAttempts: SoakInvariant = {
  name: 'bounded-attempts',
  description:
    'A request is executed at no more replicas than its route allows, and at none more than twice.',
  timed: false,
  check: ({ sent, bounds }, index) =>
    sent
      .map(({ id }) => ({
        id,
        runs: [
          ...groupBy(index.executionsOf(id), ({ replica }) => replica).values(),
        ].map(({ length }) => length),
      }))
      .filter(
        ({ runs }) =>
          runs.length > bounds.attempts ||
          runs.some(count => count > MAX_AT_ONE_REPLICA),
      )
      .map(({ id, runs }) => ({
        request: id,
        what: `executed at ${runs.length} replicas, ${runs.join(' and ')} times`,
      })),
};
