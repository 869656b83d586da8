import type { BackendServerId } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';
import { describe } from '@jujubecroft/testing';

import { ReplicaPaths } from '../../../src/gateway/index.js';

const runOf = (name: string, bornMs = 1) => ({
  id: brand<BackendServerId>(name),
  bornMs,
});
const A = runOf('a');
const B = runOf('b');

function createPaths(): { paths: ReplicaPaths; wait: (ms: number) => void } {
  let nowMs = 0;
  return {
    paths: new ReplicaPaths(
      () => nowMs,
      () => 0.5,
    ),
    wait: ms => {
      nowMs += ms;
    },
  };
}

describe('ReplicaPaths', ({ it }) => {
  it('connects directly, and through others only after a while', t => {
    const { paths } = createPaths();
    const plan = paths.planConnection(A);
    t.true(plan.direct);
    t.true(plan.relayAfterMs > 0);
    t.is(paths.lostCount, 0);
  });

  it('connects through others at once over a lost path, and seldom directly', t => {
    const { paths, wait } = createPaths();
    t.true(paths.onRelayed(A));
    t.false(paths.onRelayed(A));
    let direct = 0;
    for (let ms = 0; ms < 3000; ms += 50) {
      const plan = paths.planConnection(A);
      t.is(plan.relayAfterMs, 0);
      direct += plan.direct ? 1 : 0;
      paths.onRelayed(A);
      wait(50);
    }
    t.true(direct > 0 && direct <= 6);
  });

  it('waits less for other paths once several are lost', t => {
    const { paths } = createPaths();
    const before = paths.planConnection(runOf('c')).relayAfterMs;
    paths.onRelayed(A);
    paths.onRelayed(B);
    t.true(paths.suspectsOwnLinks);
    t.true(paths.planConnection(runOf('c')).relayAfterMs < before);
  });

  it('forgets a loss that is not confirmed, but not when it was', t => {
    const { paths, wait } = createPaths();
    wait(10);
    paths.onRelayed(A);
    wait(2000);
    paths.onProbeFailed(A);
    wait(2000);
    t.true(paths.isLost(A));
    wait(2000);
    t.false(paths.isLost(A));
    t.is(paths.lastLostMs(A), 10);
  });

  it('knows nothing of the path to a later run of a replica', t => {
    const { paths } = createPaths();
    paths.onRelayed(A);
    t.false(paths.isLost(runOf('a', 2)));
    t.is(paths.lastLostMs(runOf('a', 2)), -Infinity);
  });

  // Guards against instances that connect to all replicas in the same moment when
  // their links are repaired.
  it('tries few paths at a time, and the others soon after one is restored', t => {
    const { paths, wait } = createPaths();
    const runs = Array.from({ length: 20 }, (_, index) => runOf(`r-${index}`));
    runs.forEach(run => paths.onRelayed(run));
    wait(2000);
    const first = paths.takeProbes(() => true);
    t.true(first.length > 0 && first.length <= 2);
    const [id] = first;
    t.true(id !== undefined && paths.onDirect(runOf(id)));
    wait(300);
    t.true(paths.takeProbes(() => true).length > 0);
    t.deepEqual(
      paths.takeProbes(() => false),
      [],
    );
  });

  it('checks the path to a silent replica once in a while', t => {
    const { paths, wait } = createPaths();
    t.true(paths.takeCheck(A));
    t.false(paths.takeCheck(A));
    wait(1000);
    t.true(paths.takeCheck(A));
  });
});
