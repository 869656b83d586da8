import { describe } from '@jujubecroft/testing';

import type {
  FleetConditions,
  DispatchedRequest,
} from '../helpers/VirtualFleet.js';
import { VirtualFleet } from '../helpers/VirtualFleet.js';

const LEAVES = 4;
const BETWEEN_LEAVES_MS = 1500;
const AFTER_LEAVES_MS = 3000;
const REPLICAS = 12;

/** Plays leaves and returns the requests that went out too long after one. */
async function sentTooLate(
  conditions: Omit<FleetConditions, 'replicas'>,
): Promise<readonly DispatchedRequest[]> {
  const fleet = new VirtualFleet({ replicas: REPLICAS, ...conditions });
  await fleet.start();
  for (let leave = 0; leave < LEAVES; leave += 1) {
    fleet.leave(leave);
    await fleet.time.run(BETWEEN_LEAVES_MS);
  }
  await fleet.time.run(AFTER_LEAVES_MS);
  return fleet.sent.filter(
    ({ missedLeaveMs }) => missedLeaveMs > conditions.freshWithinMs,
  );
}

// A request ran at a replica 3,068 ms after the store had acknowledged that the replica
// leaves, where 3,000 are the bound; the instance that sent it was short of processor.
// Ages of views were counted from when a message was read, so that an instance took a
// view without a leave of 2,222 ms ago for 73 ms old; and no request was held back where
// the age was known, as with one placed by a view of 5,809 ms ("replicasAgeMs":5809).
describe('a leave is in force in time', ({ it }) => {
  const heldUp = { loss: 0.02, meanStallMs: 1500, meanStallIntervalMs: 500 };

  it('at six instances that are held up again and again', async t => {
    const late = await Promise.all(
      [1, 2, 3, 4].map(seed =>
        sentTooLate({ ...heldUp, instances: 6, freshWithinMs: 2000, seed }),
      ),
    );
    t.deepEqual(late.flat(), []);
  });

  it('at sixty', async t => {
    const conditions = { ...heldUp, instances: 60, freshWithinMs: 3000 };
    t.deepEqual(await sentTooLate({ ...conditions, seed: 1 }), []);
  });

  it('at 195', async t => {
    const conditions = { ...heldUp, instances: 195, freshWithinMs: 4000 };
    t.deepEqual(await sentTooLate({ ...conditions, seed: 1 }), []);
  });
});
