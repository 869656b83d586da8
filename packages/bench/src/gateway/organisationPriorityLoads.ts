import type { OrganisationId, RoutedOrganisation } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import type { ReplayLoad } from './burstLoad.js';
import { BURST_LOAD } from './burstLoad.js';

/** Factor on the rate of long prompts during the burst. */
const LONG_BURST_FACTOR = 4.5;

function organisation(name: string, priority: number): RoutedOrganisation {
  return { id: brand<OrganisationId>(name), keys: [`${name}-key`], priority };
}

/**
 * The burst load with more long prompts, sent by organisations of equal priority.
 *
 * The priority of the route alone decides which request is more urgent.
 */
export const EQUAL_PRIORITY_LOAD: ReplayLoad = {
  ...BURST_LOAD,
  kinds: BURST_LOAD.kinds.map(kind => ({
    ...kind,
    burst: kind.route.id === 'long' ? LONG_BURST_FACTOR : kind.burst,
    route: { ...kind.route, isPublic: false },
  })),
  organisations: [organisation('team', 1)],
};

/** The same load, sent by four organisations of which one has a higher priority. */
export const TWO_PRIORITIES_LOAD: ReplayLoad = {
  ...EQUAL_PRIORITY_LOAD,
  organisations: [
    organisation('first', 0),
    organisation('second', 1),
    organisation('third', 1),
    organisation('fourth', 1),
  ],
};

/** Number of organisations of the load in which one of them surges. */
const SURGE_ORGANISATIONS = 24;
/**
 * Factor on the usual rate of long prompts at which the engines are just able to
 * serve them without a surge.
 */
const NEARLY_FULL_FACTOR = 2.3;

/**
 * Long prompts of 24 organisations of equal priority, at a rate that leaves
 * nearly no capacity. All requests have the same priority, since capacity is
 * not divided across priorities.
 */
export const NEARLY_FULL_LOAD: ReplayLoad = {
  ...BURST_LOAD,
  kinds: BURST_LOAD.kinds
    .filter(({ route }) => route.id === 'long')
    .map(kind => ({
      ...kind,
      perS: NEARLY_FULL_FACTOR * kind.perS,
      burst: 1,
      route: { ...kind.route, isPublic: false },
    })),
  organisations: Array.from({ length: SURGE_ORGANISATIONS }, (_, index) =>
    organisation(`team-${index}`, 1),
  ),
};
