import { describe } from '@jujubecroft/testing';

import { VirtualFleet } from '../helpers/VirtualFleet.js';

const CHANGES = 8;
const BETWEEN_CHANGES_MS = 350;
const BOUND_MS = 3000;
const CONDITIONS = {
  replicas: 12,
  freshWithinMs: BOUND_MS,
  loss: 0.01,
  meanStallMs: 0,
  meanStallIntervalMs: 0,
  seed: 1,
  linkBitsPerS: 10e6,
};

// Guards against transfers of whole configurations after every change. With 1,450
// routes and links of 10 Mbit/s, pulls exceed their timeout of 500 ms and are repeated
// ("pullFailed" 65 to 85 times a second), which saturates the links: only 9 to 18 of 58
// instances had a version in effect before the next one came. Changes are sent in
// datagrams instead.
describe('a large configuration', ({ it }) => {
  it('takes effect in time at 195 instances after a change of 1,400 routes', async t => {
    const fleet = new VirtualFleet({
      ...CONDITIONS,
      instances: 195,
      routes: 50,
    });
    await fleet.start();
    const version = fleet.configure(1450);
    await fleet.time.run(BOUND_MS);
    t.is(fleet.versions.filter(known => known < version).length, 0);
    t.is(fleet.refusedAsOutdated, 0);
  });

  it('takes effect in time at sixty instances after each of several quick changes', async t => {
    const fleet = new VirtualFleet({
      ...CONDITIONS,
      instances: 60,
      routes: 1450,
    });
    await fleet.start();
    await fleet.time.run(5000);
    t.true(fleet.versions.every(version => version === 1));
    const before = fleet.refusedAsOutdated;
    const missing: number[] = [];
    for (let change = 0; change < CHANGES; change += 1) {
      const version = fleet.configure();
      fleet.time.after(BOUND_MS, () => {
        missing.push(fleet.versions.filter(known => known < version).length);
      });
      await fleet.time.run(BETWEEN_CHANGES_MS);
    }
    await fleet.time.run(BOUND_MS);
    t.deepEqual(
      missing,
      missing.map(() => 0),
    );
    t.is(fleet.refusedAsOutdated, before);
  });
});
