import type { OrganisationId } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import type { ReplayLoad } from './burstLoad.js';
import { BURST_LOAD } from './burstLoad.js';

/** How many times the usual long prompts come in the burst. */
const LONG_BURST = 4.5;

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
  organisations: [
    { id: brand<OrganisationId>('team'), keys: ['team-key'], priority: 1 },
  ],
};
