import { createGatewayBoard } from '@jujubecroft/decisions';
import type { GatewayBoard } from '@jujubecroft/decisions';
import { describe } from '@jujubecroft/testing';
import type { FailureDomainId, InstanceId } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import type { ViewLeaseState, RenewView } from '../../src/state/ViewLease.js';
import { ViewLease } from '../../src/state/ViewLease.js';
import { createVirtualTimers } from '../helpers/createVirtualTimers.js';
import { VirtualProcess, VirtualTime } from '../helpers/VirtualTime.js';

const BOUND_MS = 2000;
/** Beyond the age up to which a view is used. */
const TOO_OLD_MS = 1900;

/** Time that passes with each request. */
const OBTAIN_MS = 1000;

interface Fixture {
  readonly time: VirtualTime;
  readonly board: GatewayBoard;
  readonly lease: ViewLease;
  /** Times at which the view was to be renewed. */
  readonly renewals: number[];
  /** Makes the view current as of now. */
  readonly confirm: () => void;
  /** What a request learns, and how long it waited. */
  readonly obtain: () => Promise<{ state: ViewLeaseState; waitedMs: number }>;
}

function fixture(renewView: (confirm: () => void) => RenewView): Fixture {
  const time = new VirtualTime();
  const clock = (): number => time.nowMs;
  const board = createGatewayBoard({
    clock,
    random: () => 0.5,
    instance: brand<InstanceId>('i-1'),
    failureDomain: brand<FailureDomainId>('d-1'),
    retryBudget: { ratio: 0.2, extra: 50, windowMs: 10_000 },
  });
  const confirm = (): void => {
    board.storeClock.read(time.nowMs, time.nowMs);
    board.replicas.confirm(1, time.nowMs);
    board.configurationAsOfMs = time.nowMs;
  };
  const lease = new ViewLease(
    board,
    createVirtualTimers(time, new VirtualProcess()),
    () => BOUND_MS,
  );
  const renewals: number[] = [];
  const renew = renewView(confirm);
  lease.setRenewal(() => {
    renewals.push(time.nowMs);
    return renew();
  });
  confirm();
  const obtain = async () => {
    const askedMs = time.nowMs;
    const done = lease
      .obtain()
      .then(state => ({ state, waitedMs: time.nowMs - askedMs }));
    await time.run(OBTAIN_MS);
    return done;
  };
  return { time, board, lease, renewals, confirm, obtain };
}

const never: RenewView = () => new Promise(() => undefined);

describe('ViewLease', ({ it, describe: group }) => {
  it('lets requests pass at once while the view is current', async t => {
    const { time, obtain, renewals } = fixture(() => never);
    await time.run(1700);
    t.deepEqual(await obtain(), { state: 'usable', waitedMs: 0 });
    t.deepEqual(renewals, []);
  });

  it('renews a view that is too old, once for all requests', async t => {
    const { time, lease, renewals, obtain } = fixture(confirm => async () => {
      await Promise.resolve();
      confirm();
      return true;
    });
    await time.run(TOO_OLD_MS);
    const other = lease.obtain();
    t.deepEqual(await obtain(), { state: 'usable', waitedMs: 0 });
    t.is(await other, 'usable');
    t.deepEqual(renewals, [TOO_OLD_MS]);
  });

  it('goes on as soon as another instance confirms the view', async t => {
    const { time, lease, confirm, obtain } = fixture(() => never);
    await time.run(TOO_OLD_MS);
    time.after(30, () => {
      confirm();
      lease.onViewUpdated();
    });
    t.deepEqual(await obtain(), { state: 'usable', waitedMs: 30 });
  });

  group('a renewal that fails', ({ it: test }) => {
    // The store is away, so nobody can say whether a replica leaves. Held or refused,
    // all requests of all instances would be lost for nothing.
    test('lets requests pass where nobody can know more', async t => {
      const { time, obtain, renewals } = fixture(
        () => () => Promise.resolve(false),
      );
      await time.run(TOO_OLD_MS);
      t.deepEqual(await obtain(), { state: 'usable', waitedMs: 0 });
      t.deepEqual(await obtain(), { state: 'usable', waitedMs: 0 });
      t.is(renewals.length, 1);
    });

    test('holds the first requests for a short time where nothing answers', async t => {
      const { time, obtain } = fixture(() => never);
      await time.run(TOO_OLD_MS);
      t.deepEqual(await obtain(), { state: 'usable', waitedMs: 250 });
      t.deepEqual(await obtain(), { state: 'usable', waitedMs: 0 });
    });

    // The link of one instance is full, and it hears from others only that they know
    // more. It went on by a configuration that was replaced four seconds ago.
    test('turns requests away where another instance knows more', async t => {
      const { time, board, obtain, confirm } = fixture(
        () => () => Promise.resolve(false),
      );
      await time.run(TOO_OLD_MS);
      board.othersAsOfMs = TOO_OLD_MS - 100;
      t.deepEqual(await obtain(), { state: 'behind', waitedMs: 0 });
      // What the other knew is too old by now as well.
      await time.run(OBTAIN_MS);
      t.deepEqual(await obtain(), { state: 'usable', waitedMs: 0 });
      board.othersAsOfMs = time.nowMs - 100;
      t.deepEqual(await obtain(), { state: 'behind', waitedMs: 0 });
      confirm();
      t.is((await obtain()).state, 'usable');
    });
  });
});
