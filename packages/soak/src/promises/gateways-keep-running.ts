import type { SoakInvariant } from './SoakInvariant.js';

/** No gateway process ends unless the soak ends it. */
export const gatewaysKeepRunning: SoakInvariant = {
  name: 'gateways-keep-running',
  description: 'No gateway process ends by itself.',
  timed: false,
  check: ({ ownEnds }) =>
    ownEnds.map(({ gateway, exit }) => ({
      request: null,
      what: `gateway ${gateway} ended by itself (${exit})`,
    })),
};
