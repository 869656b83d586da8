import { describe } from '@jujubecroft/testing';

import { serviceOf, SERVICES } from '../src/SoakFleet.js';

describe('SoakFleet', ({ it }) => {
  // Two replicas are replaced and come back for the other service. Their own has
  // none left then, and refusing its requests is no fault of any gateway.
  it('leaves each service a replica however often they are replaced', t => {
    [1, 2, 3].forEach(incarnation => {
      const services = [0, 1, 2, 3].map(index => serviceOf(index, incarnation));
      t.deepEqual([...new Set(services)].sort(), [...SERVICES].sort());
    });
    const mixed = [0, 1, 2, 3].map(index => serviceOf(index, 1 + (index % 2)));
    t.deepEqual([...new Set(mixed)].sort(), [...SERVICES].sort());
    t.not(serviceOf(2, 1), serviceOf(2, 2));
  });
});
