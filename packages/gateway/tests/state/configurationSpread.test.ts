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

// Configurations with 1,450 routes came one after the other. Each was handed on as a
// whole, to everybody who lacked it, over links of 10 Mbit/s. Pulls did not end
// within their 500 ms and began anew ("pullFailed", 65 to 85 a second), the links were
// full, and of 58 instances 9 to 18 had a version in force before the next one came.
// What is handed on now are the changes, in the datagrams that go out anyway.
describe('a change of a large configuration', ({ it }) => {
  it('is in force at 195 instances in time, also where it is large itself', async t => {
    const fleet = new VirtualFleet({
      ...CONDITIONS,
      instances: 195,
      routes: 50,
    });
    await fleet.start();
    const version = fleet.configure(1450);
    await fleet.time.run(BOUND_MS);
    t.is(fleet.versions.filter(known => known < version).length, 0);
    t.is(fleet.refusedAsBehind, 0);
  });

  it('is in force at sixty instances in time, one after the other', async t => {
    const fleet = new VirtualFleet({
      ...CONDITIONS,
      instances: 60,
      routes: 1450,
    });
    await fleet.start();
    await fleet.time.run(5000);
    t.true(fleet.versions.every(version => version === 1));
    const before = fleet.refusedAsBehind;
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
    t.is(fleet.refusedAsBehind, before);
  });
});
