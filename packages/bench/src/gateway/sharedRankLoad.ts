import type { OrganisationId, RoutedOrganisation } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import type { ReplayLoad } from './burstLoad.js';
import { BURST_LOAD } from './burstLoad.js';

/** How many times the usual long prompts come in the burst. */
const LONG_BURST = 4.5;

function organisation(name: string, priority: number): RoutedOrganisation {
  return { id: brand<OrganisationId>(name), keys: [`${name}-key`], priority };
}

/**
 * The load of a burst, called by organisations that all have the same priority.
 *
 * Routes alone tell then which request is more urgent.
 */
export const SHARED_RANK_LOAD: ReplayLoad = {
  ...BURST_LOAD,
  kinds: BURST_LOAD.kinds.map(kind => ({
    ...kind,
    burst: kind.route.id === 'long' ? LONG_BURST : kind.burst,
    route: { ...kind.route, isPublic: false },
  })),
  organisations: [organisation('team', 1)],
};

/** The same, called by organisations of which one in four goes before the others. */
export const TWO_RANKS_LOAD: ReplayLoad = {
  ...SHARED_RANK_LOAD,
  organisations: [
    organisation('first', 0),
    organisation('second', 1),
    organisation('third', 1),
    organisation('fourth', 1),
  ],
};
