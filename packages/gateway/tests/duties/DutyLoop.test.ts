import type { ExecutionContext } from 'ava';
import { describe, faultOf } from '@jujubecroft/testing';

import { DUTIES, VirtualDuties } from '../helpers/VirtualDuties.js';

/** Most by which a reported count may differ from the requests that began. */
const TOLERANCE = 0.05;
/** Time in which somebody else holds the duties where the holder is gone. */
const TAKE_OVER_MS = 1.5 * DUTIES.leaseMs + 500;
const SIZES = [6, 60, 195];

function assertSound(t: ExecutionContext, fleet: VirtualDuties): void {
  t.is(faultOf(fleet.platform.executedCalls, DUTIES.leaseMs), null);
}

/** Windows whose report is missing or differs by more than is allowed. */
function badWindows(fleet: VirtualDuties): readonly number[] {
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
    const truth = fleet.actualCounts(window);
    return [...truth].some(
      ([name, count]) =>
        Math.abs((counts.get(name) ?? 0) - count) >
        Math.max(1, TOLERANCE * count),
    );
  });
}

async function started(
  conditions: ConstructorParameters<typeof VirtualDuties>[0],
): Promise<VirtualDuties> {
  const fleet = new VirtualDuties(conditions);
  fleet.start();
  await fleet.time.run(8000);
  return fleet;
}

/** @returns milliseconds until another instance holds the duties */
async function takeOverMs(
  fleet: VirtualDuties,
  lose: (holder: NonNullable<VirtualDuties['holder']>) => void,
): Promise<number> {
  const before = fleet.holder;
  if (before === undefined) {
    return Infinity;
  }
  const fromMs = fleet.time.nowMs;
  lose(before);
  const isOver = (): boolean =>
    (fleet.holder !== undefined && fleet.holder !== before) ||
    fleet.time.nowMs - fromMs >= 4 * DUTIES.leaseMs;
  while (!isOver()) {
    await fleet.time.run(100);
  }
  return fleet.time.nowMs - fromMs;
}

describe('the duties of a fleet', ({ it }) => {
  [6, 60].forEach(instances => {
    // Guards against usage that goes unreported, or is reported wrongly.
    it(`are done in calm (${instances} instances)`, async t => {
      const fleet = await started({ instances, seed: 7 });
      const fromMs = fleet.time.nowMs;
      const calls = fleet.platform.holdingCalls;
      await fleet.time.run(17_000);
      const perMinute =
        (60_000 * (fleet.platform.holdingCalls - calls)) /
        (fleet.time.nowMs - fromMs);
      t.log(`${perMinute.toFixed(0)} calls of the store a minute`);
      assertSound(t, fleet);
      t.true(fleet.dueWindows.length >= 2);
      t.deepEqual(badWindows(fleet), []);
      t.true(perMinute < 150);
    });
  });

  SIZES.forEach(instances => {
    // Guards against duties that nobody does, and a fleet that presses the store.
    it(`go to another one where the holder dies (${instances} instances)`, async t => {
      const fleet = await started({ instances, seed: 8, loss: 0.02 });
      const calls = fleet.platform.holdingCalls;
      const tookMs = await takeOverMs(fleet, holder => {
        fleet.kill(holder);
      });
      t.log(
        `${tookMs} ms, ${fleet.platform.holdingCalls - calls} calls of the store`,
      );
      t.true(tookMs <= TAKE_OVER_MS);
      t.true(fleet.platform.holdingCalls - calls <= 20);
    });
  });

  it('are done as before by the one after a holder that died', async t => {
    const fleet = await started({ instances: 12, seed: 8, loss: 0.02 });
    await takeOverMs(fleet, holder => {
      fleet.kill(holder);
    });
    await fleet.time.run(25_000);
    assertSound(t, fleet);
    t.deepEqual(badWindows(fleet), []);
  });

  it('go to another one at once where the holder stops', async t => {
    const fleet = await started({ instances: 12, seed: 9 });
    const tookMs = await takeOverMs(fleet, holder => {
      fleet.leave(holder);
    });
    t.log(`${tookMs} ms`);
    t.true(tookMs <= 1500);
    await fleet.time.run(10_000);
    assertSound(t, fleet);
  });

  it('go to another one where the holder is cut from the store', async t => {
    const fleet = await started({ instances: 12, seed: 3 });
    const tookMs = await takeOverMs(fleet, ({ name }) => {
      fleet.platform.cutFromStore.add(name);
    });
    t.true(tookMs <= TAKE_OVER_MS, `${tookMs} ms`);
    fleet.platform.cutFromStore.clear();
    await fleet.time.run(25_000);
    assertSound(t, fleet);
    t.deepEqual(badWindows(fleet), []);
  });

  it('go to another one where the holder is cut from the platform', async t => {
    const fleet = await started({ instances: 12, seed: 4 });
    await takeOverMs(fleet, ({ name }) => {
      fleet.platform.cutFromPlatform.add(name);
    });
    await fleet.time.run(25_000);
    assertSound(t, fleet);
    t.deepEqual(badWindows(fleet), []);
  });

  // Guards against acting on a lease that ended while the machine was frozen.
  it('are not done twice by a holder that was frozen', async t => {
    const fleet = await started({ instances: 12, seed: 5 });
    const { holder } = fleet;
    await takeOverMs(fleet, frozen => {
      frozen.process.stalledUntilMs = fleet.time.nowMs + 6000;
    });
    await fleet.time.run(25_000);
    t.not(fleet.holder, holder);
    assertSound(t, fleet);
  });

  // Guards against counts for the wrong window where the holder's clock jumps.
  it('go by the clock on which most instances agree', async t => {
    const fleet = await started({ instances: 12, seed: 6 });
    fleet.members.slice(0, 2).forEach(member => {
      member.clockOffsetMs = 3000;
    });
    if (fleet.holder) {
      fleet.holder.clockOffsetMs = -4000;
    }
    await fleet.time.run(27_000);
    assertSound(t, fleet);
    t.deepEqual(badWindows(fleet), []);
  });

  // Guards against two counts for one window, as where a call is carried out late.
  it('are said once each, whatever is lost or late', async t => {
    for (const seed of [21, 22]) {
      const fleet = await started({
        instances: 12,
        seed,
        loss: 0.05,
        lostAnswerShare: 0.3,
        lateShare: 0.5,
      });
      await takeOverMs(fleet, holder => {
        fleet.kill(holder);
      });
      await fleet.time.run(15_000);
      fleet.members
        .filter(({ stop }) => stop === null)
        .forEach(member => {
          fleet.restart(member);
        });
      await takeOverMs(fleet, ({ name }) => {
        fleet.platform.cutFromStore.add(name);
      });
      fleet.platform.cutFromStore.clear();
      await fleet.time.run(20_000);
      const said = new Map<number, Set<string>>();
      fleet.platform.executedCalls.forEach(({ window, counts }) => {
        said.set(window, (said.get(window) ?? new Set()).add(counts));
      });
      t.deepEqual(
        [...said.values()].filter(({ size }) => size > 1),
        [],
        `seed ${seed}`,
      );
      assertSound(t, fleet);
    }
  });

  // Guards against a fleet that presses a store which is away, all at a time.
  it('are taken up again after an outage of the store without a herd', async t => {
    const fleet = await started({ instances: 60, seed: 12 });
    await fleet.time.run(300);
    fleet.members.forEach(({ name }) => fleet.platform.cutFromStore.add(name));
    const calls = fleet.platform.holdingCalls;
    await fleet.time.run(8000);
    const perS = (fleet.platform.holdingCalls - calls) / 8;
    t.log(`${perS.toFixed(1)} calls of the store a second`);
    t.true(perS < 20);
    fleet.platform.cutFromStore.clear();
    const fromMs = fleet.time.nowMs;
    const { executedCalls: carriedOut } = fleet.platform;
    const said = carriedOut.length;
    while (carriedOut.length === said && fleet.time.nowMs - fromMs < 9000) {
      await fleet.time.run(100);
    }
    t.true(fleet.time.nowMs - fromMs < 4000);
    assertSound(t, fleet);
  });

  // Guards against a new holder that counts before anybody has told it.
  it('are counted whole by a holder that has just begun', async t => {
    const fleet = await started({ instances: 20, seed: 13 });
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
    assertSound(t, fleet);
    t.deepEqual(badWindows(fleet), []);
  });

  it('go on where all instances lost their power', async t => {
    const fleet = await started({ instances: 12, seed: 11 });
    fleet.members.forEach(member => {
      fleet.kill(member);
    });
    await fleet.time.run(2000);
    fleet.members.forEach(member => {
      fleet.restart(member);
    });
    await fleet.time.run(25_000);
    assertSound(t, fleet);
    // What nobody had told when the power went is lost for its window.
    t.true(badWindows(fleet).length <= 2);
  });
});
