import { describe } from '@jujubecroft/testing';

import { serviceOf, SERVICES } from '../src/SoakFleet.js';

describe('SoakFleet', ({ it }) => {
  // A restarted replica changes to the other service. If all replicas of a service
  // changed, the gateways would rightly refuse its requests, and the soak would
  // report that as a violation.
  it('keeps a replica for each service after any number of replica restarts', t => {
    [1, 2, 3].forEach(incarnation => {
      const services = [0, 1, 2, 3].map(index => serviceOf(index, incarnation));
      t.deepEqual([...new Set(services)].sort(), [...SERVICES].sort());
    });
    const mixed = [0, 1, 2, 3].map(index => serviceOf(index, 1 + (index % 2)));
    t.deepEqual([...new Set(mixed)].sort(), [...SERVICES].sort());
    t.not(serviceOf(2, 1), serviceOf(2, 2));
  });
});
