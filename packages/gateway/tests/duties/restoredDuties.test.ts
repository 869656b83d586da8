import type { ExecutionContext } from 'ava';
import { describe, findLeaseViolation } from '@jujubecroft/testing';

import { DUTIES, VirtualDuties } from '../helpers/VirtualDuties.js';

/** Time until the duties are held after all instances have started. */
const START_MS = 5000;
/** Maximum time until another instance holds the duties in a new era. */
const MAX_TAKEOVER_MS = 2.5 * DUTIES.leaseMs + 500;

/** A fleet whose store has lost the writes of some time. */
interface Lost {
  readonly instances: number;
  /** Age of the copy that the store is restored from. */
  readonly copyAgeMs: number;
  /** Time that is checked after the restore. */
  readonly checkedMs: number;
}

/** @returns windows that were reported with different counts */
function repeatedWindows({ platform }: VirtualDuties): readonly number[] {
  const calls = platform.executedCalls;
  return calls
    .filter(({ window, counts }) =>
      calls.some(other => other.window === window && other.counts !== counts),
    )
    .map(({ window }) => window);
}

function assertOneHolder(t: ExecutionContext, fleet: VirtualDuties): void {
  t.is(findLeaseViolation(fleet.platform.executedCalls, DUTIES.leaseMs), null);
  t.deepEqual(repeatedWindows(fleet), []);
}

/** Starts a fleet, and copies its store once the duties are held. */
async function startWithCopy(instances: number, copyAgeMs: number) {
  const fleet = new VirtualDuties({ instances, seed: 5, loss: 0.02 });
  fleet.start();
  await fleet.time.run(START_MS);
  const copy = fleet.platform.copy();
  await fleet.time.run(copyAgeMs);
  return { fleet, copy };
}

// Guards against two holders, and usage that is reported twice with different counts, after
// the store was restored from a copy that lacks the latest writes.
describe('the duties, after the store was restored from a copy', ({
  itAlone,
}) => {
  const sizes: readonly Lost[] = [
    { instances: 6, copyAgeMs: 7000, checkedMs: 12_000 },
    { instances: 60, copyAgeMs: 3000, checkedMs: 5000 },
    { instances: 195, copyAgeMs: 1000, checkedMs: 500 },
  ];
  sizes.forEach(({ instances, copyAgeMs, checkedMs }) => {
    itAlone(`stay with their holder (${instances} instances)`, async t => {
      const { fleet, copy } = await startWithCopy(instances, copyAgeMs);
      const before = fleet.holder;
      t.not(before, undefined);
      fleet.platform.restore(copy);
      await fleet.time.run(DUTIES.leaseMs);
      t.is(fleet.holder, before);
      await fleet.time.run(checkedMs);
      t.is(fleet.holder, before);
      assertOneHolder(t, fleet);
    });

    itAlone(
      `have one holder if it crashes at the same time (${instances} instances)`,
      async t => {
        const { fleet, copy } = await startWithCopy(instances, copyAgeMs);
        const before = fleet.holder;
        if (before) {
          fleet.kill(before);
        }
        fleet.platform.restore(copy);
        await fleet.time.run(MAX_TAKEOVER_MS);
        t.not(fleet.holder, undefined);
        t.not(fleet.holder, before);
        await fleet.time.run(checkedMs);
        assertOneHolder(t, fleet);
      },
    );
  });

  itAlone(
    'have one holder if it changed within the lost writes, restored twice',
    async t => {
      const { fleet, copy } = await startWithCopy(12, 1000);
      const before = fleet.holder;
      if (before) {
        fleet.kill(before);
      }
      await fleet.time.run(MAX_TAKEOVER_MS);
      t.not(fleet.holder, before);
      fleet.platform.restore(copy);
      await fleet.time.run(1000);
      fleet.platform.restore(copy);
      await fleet.time.run(20_000);
      t.not(fleet.holder, undefined);
      assertOneHolder(t, fleet);
    },
  );
});
