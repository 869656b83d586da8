import { describe } from '@jujubecroft/testing';

import { VirtualFleet } from '../helpers/VirtualFleet.js';

const OUTAGE_MS = 20_000;
const FRESH_WITHIN_MS = 3000;
/** Time until the views are outdated and the outage is confirmed everywhere. */
const CONFIRM_MS = 5000;
/** Time after which an instance that is cut off counts all others as failed. */
const CUT_OFF_MS = 15_000;

async function createFleet(instances: number): Promise<VirtualFleet> {
  const fleet = new VirtualFleet({
    instances,
    replicas: 12,
    freshWithinMs: FRESH_WITHIN_MS,
    loss: 0.01,
    meanStallMs: 0,
    meanStallIntervalMs: 0,
    heartbeatMs: 1200,
    seed: 1,
  });
  await fleet.start();
  return fleet;
}

describe('the view of an instance', ({ describe: group, it }) => {
  // Guards against a fleet that refuses its callers since no view can be renewed.
  group('while the store is unavailable to all instances', ({ it: test }) => {
    [1, 6, 60].forEach(instances => {
      test(`is used at ${instances} instances until the store is back`, async t => {
        const fleet = await createFleet(instances);
        fleet.store.isSilent = true;
        await fleet.time.run(CONFIRM_MS);
        const { refusedAsOutdated } = fleet;
        fleet.sent.length = 0;
        await fleet.time.run(OUTAGE_MS - CONFIRM_MS);
        t.is(fleet.refusedAsOutdated, refusedAsOutdated);
        t.true(fleet.sent.length > 0);
        t.true(
          fleet.sent.every(({ viewAgeMs }) => viewAgeMs > FRESH_WITHIN_MS),
        );
        fleet.store.isSilent = false;
        await fleet.time.run(CONFIRM_MS);
        fleet.sent.length = 0;
        await fleet.time.run(CONFIRM_MS);
        t.true(
          fleet.sent.every(({ viewAgeMs }) => viewAgeMs < FRESH_WITHIN_MS),
        );
      });
    });
  });

  // Guards against requests to replicas that left long ago, from an instance that nothing
  // reaches: it can't tell an outage of the store from a fault of its own.
  it('is not used once it is outdated at an instance that is cut off', async t => {
    const fleet = await createFleet(6);
    fleet.isolate(0);
    await fleet.time.run(CUT_OFF_MS);
    t.true(fleet.refusedAsOutdated > 0);
    t.deepEqual(
      fleet.sent.filter(({ viewAgeMs }) => viewAgeMs > FRESH_WITHIN_MS),
      [],
    );
  });
});
