import type { ExecutionContext } from 'ava';
import { describe, findLeaseViolation } from '@jujubecroft/testing';

import { DUTIES, VirtualDuties } from '../helpers/VirtualDuties.js';

/**
 * Maximum relative difference of a reported count from the actual number of requests.
 */
const TOLERANCE = 0.05;
/** Maximum time until another instance holds the duties after the holder has failed. */
const MAX_TAKEOVER_MS = 1.5 * DUTIES.leaseMs + 500;
const SIZES = [6, 60, 195];

/**
 * Asserts that each token had one holder, that tokens never decreased, and that no
 * holder came back within a lease.
 */
function assertValidHolders(t: ExecutionContext, fleet: VirtualDuties): void {
  t.is(findLeaseViolation(fleet.platform.executedCalls, DUTIES.leaseMs), null);
}

/** @returns windows whose report is missing or deviates by more than the tolerance */
function wrongWindows(fleet: VirtualDuties): readonly number[] {
  return fleet.dueWindows.filter(window => {
    const report = fleet.platform.executedCalls.find(
      other => other.window === window,
    );
    const counts = new Map(
      Object.entries(JSON.parse(report?.counts ?? '{}') as object) as [
        string,
        number,
      ][],
    );
    const actual = fleet.actualCounts(window);
    return [...actual].some(
      ([name, count]) =>
        Math.abs((counts.get(name) ?? 0) - count) >
        Math.max(1, TOLERANCE * count),
    );
  });
}

/** Starts a fleet, and waits until its duties are held. */
async function startFleet(
  conditions: ConstructorParameters<typeof VirtualDuties>[0],
): Promise<VirtualDuties> {
  const fleet = new VirtualDuties(conditions);
  fleet.start();
  await fleet.time.run(8000);
  return fleet;
}

/**
 * Makes the holder fail.
 *
 * @param fleet - the fleet
 * @param fail - makes the given holder fail
 * @returns time until another instance holds the duties, in milliseconds; four times
 *   the lease if none does by then
 */
async function takeoverMs(
  fleet: VirtualDuties,
  fail: (holder: NonNullable<VirtualDuties['holder']>) => void,
): Promise<number> {
  const before = fleet.holder;
  if (before === undefined) {
    return Infinity;
  }
  const fromMs = fleet.time.nowMs;
  fail(before);
  const isOver = (): boolean =>
    (fleet.holder !== undefined && fleet.holder !== before) ||
    fleet.time.nowMs - fromMs >= 4 * DUTIES.leaseMs;
  while (!isOver()) {
    await fleet.time.run(100);
  }
  return fleet.time.nowMs - fromMs;
}

describe('DutyLoop', ({ it }) => {
  [6, 60].forEach(instances => {
    // Guards against usage that is missing or wrong in the reports.
    it(`reports usage correctly without faults (${instances} instances)`, async t => {
      const fleet = await startFleet({ instances, seed: 7 });
      const fromMs = fleet.time.nowMs;
      const calls = fleet.platform.holdingCalls;
      await fleet.time.run(17_000);
      const perMinute =
        (60_000 * (fleet.platform.holdingCalls - calls)) /
        (fleet.time.nowMs - fromMs);
      t.log(`${perMinute.toFixed(0)} store calls per minute`);
      assertValidHolders(t, fleet);
      t.true(fleet.dueWindows.length >= 2);
      t.deepEqual(wrongWindows(fleet), []);
      t.true(perMinute < 150);
    });
  });

  SIZES.forEach(instances => {
    // Guards against duties that stay without a holder, and against excessive store
    // calls.
    it(`moves the duties to another instance after the holder crashes (${instances} instances)`, async t => {
      const fleet = await startFleet({ instances, seed: 8, loss: 0.02 });
      const calls = fleet.platform.holdingCalls;
      const tookMs = await takeoverMs(fleet, holder => {
        fleet.kill(holder);
      });
      t.log(`${tookMs} ms, ${fleet.platform.holdingCalls - calls} store calls`);
      t.true(tookMs <= MAX_TAKEOVER_MS);
      t.true(fleet.platform.holdingCalls - calls <= 20);
    });
  });

  it('reports usage correctly after the holder has crashed', async t => {
    const fleet = await startFleet({ instances: 12, seed: 8, loss: 0.02 });
    await takeoverMs(fleet, holder => {
      fleet.kill(holder);
    });
    await fleet.time.run(25_000);
    assertValidHolders(t, fleet);
    t.deepEqual(wrongWindows(fleet), []);
  });

  it('hands the duties over immediately when the holder stops', async t => {
    const fleet = await startFleet({ instances: 12, seed: 9 });
    const tookMs = await takeoverMs(fleet, holder => {
      fleet.leave(holder);
    });
    t.log(`${tookMs} ms`);
    t.true(tookMs <= 1500);
    await fleet.time.run(10_000);
    assertValidHolders(t, fleet);
  });

  it('moves the duties to another instance if the holder is cut off from the store', async t => {
    const fleet = await startFleet({ instances: 12, seed: 3 });
    const tookMs = await takeoverMs(fleet, ({ name }) => {
      fleet.platform.cutFromStore.add(name);
    });
    t.true(tookMs <= MAX_TAKEOVER_MS, `${tookMs} ms`);
    fleet.platform.cutFromStore.clear();
    await fleet.time.run(25_000);
    assertValidHolders(t, fleet);
    t.deepEqual(wrongWindows(fleet), []);
  });

  it('reports usage correctly if the holder is cut off from the platform', async t => {
    const fleet = await startFleet({ instances: 12, seed: 4 });
    await takeoverMs(fleet, ({ name }) => {
      fleet.platform.cutFromPlatform.add(name);
    });
    await fleet.time.run(25_000);
    assertValidHolders(t, fleet);
    t.deepEqual(wrongWindows(fleet), []);
  });

  // Guards against acting on a lease that expired while the machine was suspended.
  it('keeps a suspended holder from acting after another instance has taken over', async t => {
    const fleet = await startFleet({ instances: 12, seed: 5 });
    const { holder } = fleet;
    await takeoverMs(fleet, suspended => {
      suspended.process.stalledUntilMs = fleet.time.nowMs + 6000;
    });
    await fleet.time.run(25_000);
    t.not(fleet.holder, holder);
    assertValidHolders(t, fleet);
  });

  // Guards against counts in the wrong window after the holder's clock has jumped.
  it('assigns usage to windows by the clock that most instances agree on', async t => {
    const fleet = await startFleet({ instances: 12, seed: 6 });
    fleet.members.slice(0, 2).forEach(member => {
      member.clockOffsetMs = 3000;
    });
    if (fleet.holder) {
      fleet.holder.clockOffsetMs = -4000;
    }
    await fleet.time.run(27_000);
    assertValidHolders(t, fleet);
    t.deepEqual(wrongWindows(fleet), []);
  });

  // Guards against different counts for one window, for example if a call is executed
  // late.
  it('reports the same counts for a window each time, despite lost answers and late calls', async t => {
    for (const seed of [21, 22]) {
      const fleet = await startFleet({
        instances: 12,
        seed,
        loss: 0.05,
        lostAnswerShare: 0.3,
        lateShare: 0.5,
      });
      await takeoverMs(fleet, holder => {
        fleet.kill(holder);
      });
      await fleet.time.run(15_000);
      fleet.members
        .filter(({ stop }) => stop === null)
        .forEach(member => {
          fleet.restart(member);
        });
      await takeoverMs(fleet, ({ name }) => {
        fleet.platform.cutFromStore.add(name);
      });
      fleet.platform.cutFromStore.clear();
      await fleet.time.run(20_000);
      const reported = new Map<number, Set<string>>();
      fleet.platform.executedCalls.forEach(({ window, counts }) => {
        reported.set(window, (reported.get(window) ?? new Set()).add(counts));
      });
      t.deepEqual(
        [...reported.values()].filter(({ size }) => size > 1),
        [],
        `seed ${seed}`,
      );
      assertValidHolders(t, fleet);
    }
  });

  // Guards against a thundering herd of store calls during an outage.
  it('limits store calls during an outage of the store, and resumes reports after it', async t => {
    const fleet = await startFleet({ instances: 60, seed: 12 });
    await fleet.time.run(300);
    fleet.members.forEach(({ name }) => fleet.platform.cutFromStore.add(name));
    const calls = fleet.platform.holdingCalls;
    await fleet.time.run(8000);
    const perS = (fleet.platform.holdingCalls - calls) / 8;
    t.log(`${perS.toFixed(1)} store calls per second`);
    t.true(perS < 20);
    fleet.platform.cutFromStore.clear();
    const fromMs = fleet.time.nowMs;
    const { executedCalls } = fleet.platform;
    const before = executedCalls.length;
    while (
      executedCalls.length === before &&
      fleet.time.nowMs - fromMs < 9000
    ) {
      await fleet.time.run(100);
    }
    t.true(fleet.time.nowMs - fromMs < 4000);
    assertValidHolders(t, fleet);
  });

  // Guards against a new holder that decides usage before others have sent their
  // counts.
  it('reports complete usage from a holder that has just taken over', async t => {
    const fleet = await startFleet({ instances: 20, seed: 13 });
    const others = fleet.members;
    others.forEach(({ name }) => fleet.platform.cutFromStore.add(name));
    await fleet.time.run(7000);
    const { holder } = fleet;
    others
      .filter(({ name }) => name !== holder?.name)
      .slice(-1)
      .forEach(({ name }) => fleet.platform.cutFromStore.delete(name));
    await fleet.time.run(12_000);
    t.not(fleet.holder, holder);
    fleet.platform.cutFromStore.clear();
    await fleet.time.run(12_000);
    assertValidHolders(t, fleet);
    t.deepEqual(wrongWindows(fleet), []);
  });

  it('resumes the duties after all instances have lost power', async t => {
    const fleet = await startFleet({ instances: 12, seed: 11 });
    fleet.members.forEach(member => {
      fleet.kill(member);
    });
    await fleet.time.run(2000);
    fleet.members.forEach(member => {
      fleet.restart(member);
    });
    await fleet.time.run(25_000);
    assertValidHolders(t, fleet);
    // Counts that no instance had sent before the loss of power are missing.
    t.true(wrongWindows(fleet).length <= 2);
  });
});
