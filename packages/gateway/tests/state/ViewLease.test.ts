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
/** Age at which a view is too old to be used. */
const TOO_OLD_MS = 1900;

/** Virtual time that passes with each request. */
const OBTAIN_MS = 1000;

interface Fixture {
  readonly time: VirtualTime;
  readonly board: GatewayBoard;
  readonly lease: ViewLease;
  /** Times at which a renewal was started. */
  readonly renewals: number[];
  /** Makes the view current as of now. */
  readonly confirm: () => void;
  /** Obtains the lease for a request; resolves to its state and the time waited. */
  readonly obtain: () => Promise<{ state: ViewLeaseState; waitedMs: number }>;
}

function createFixture(renewView: (confirm: () => void) => RenewView): Fixture {
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

/** Adds the evidence of an outage: a failed call, and answers of two instances. */
function confirmOutage(board: GatewayBoard, time: VirtualTime): void {
  board.outage.onFailure();
  ['i-2', 'i-3'].forEach(id => {
    board.outage.onPeerAnswer(brand<InstanceId>(id), time.nowMs);
  });
}

const never: RenewView = () => new Promise(() => undefined);

describe('ViewLease', ({ it, describe: group }) => {
  it('lets requests pass immediately while the view is current', async t => {
    const { time, obtain, renewals } = createFixture(() => never);
    await time.run(1700);
    t.deepEqual(await obtain(), { state: 'usable', waitedMs: 0 });
    t.deepEqual(renewals, []);
  });

  it('renews an outdated view once for all waiting requests', async t => {
    const { time, lease, renewals, obtain } = createFixture(
      confirm => async () => {
        await Promise.resolve();
        confirm();
        return true;
      },
    );
    await time.run(TOO_OLD_MS);
    const other = lease.obtain();
    t.deepEqual(await obtain(), { state: 'usable', waitedMs: 0 });
    t.is(await other, 'usable');
    t.deepEqual(renewals, [TOO_OLD_MS]);
  });

  it('ends the wait as soon as another instance confirms the view', async t => {
    const { time, lease, confirm, obtain } = createFixture(() => never);
    await time.run(TOO_OLD_MS);
    time.after(30, () => {
      confirm();
      lease.onViewUpdated();
    });
    t.deepEqual(await obtain(), { state: 'usable', waitedMs: 30 });
  });

  group('after a failed renewal', ({ it: test }) => {
    // While the store is unavailable, no instance can know whether a replica leaves. If
    // requests waited or were refused, all instances would needlessly fail all of them.
    test('lets requests pass during an outage that other instances confirm', async t => {
      const { time, board, obtain, renewals } = createFixture(
        () => () => Promise.resolve(false),
      );
      await time.run(TOO_OLD_MS);
      confirmOutage(board, time);
      t.deepEqual(await obtain(), { state: 'usable', waitedMs: 0 });
      t.deepEqual(await obtain(), { state: 'usable', waitedMs: 0 });
      t.is(renewals.length, 1);
    });

    // Guards against requests to replicas that left long ago: an instance whose calls
    // fail and whose peers are silent can't know that, and others may.
    test('refuses requests while no other instance confirms an outage', async t => {
      const { time, board, lease, obtain } = createFixture(
        () => () => Promise.resolve(false),
      );
      board.otherMembers = 2;
      await time.run(TOO_OLD_MS);
      board.outage.onFailure();
      t.is((await obtain()).state, 'outdated');
      board.outage.onPeerAnswer(brand<InstanceId>('i-2'), time.nowMs);
      t.is((await obtain()).state, 'outdated');
      t.false(lease.isUsable);
      confirmOutage(board, time);
      t.is((await obtain()).state, 'usable');
      await time.run(2 * OBTAIN_MS);
      t.is((await obtain()).state, 'outdated', 'the answers are old');
    });

    test('refuses requests while the calls of this instance to the store succeed', async t => {
      const { time, board, obtain } = createFixture(
        () => () => Promise.resolve(false),
      );
      await time.run(TOO_OLD_MS);
      confirmOutage(board, time);
      board.outage.onAnswer();
      t.is((await obtain()).state, 'outdated');
    });

    test('reports when requests begin and cease to be placed by an outdated view', async t => {
      const { time, board, lease, obtain, confirm } = createFixture(
        () => () => Promise.resolve(false),
      );
      const bypasses: boolean[] = [];
      lease.onBypass(isBypassed => bypasses.push(isBypassed));
      await time.run(TOO_OLD_MS);
      confirmOutage(board, time);
      await obtain();
      await obtain();
      t.deepEqual(bypasses, [true]);
      confirm();
      await obtain();
      t.deepEqual(bypasses, [true, false]);
    });

    test('delays only the first requests, by 250 ms, if the renewal gets no answer', async t => {
      const { time, board, obtain } = createFixture(() => never);
      await time.run(TOO_OLD_MS);
      confirmOutage(board, time);
      t.deepEqual(await obtain(), { state: 'usable', waitedMs: 250 });
      t.deepEqual(await obtain(), { state: 'usable', waitedMs: 0 });
    });

    // An instance with a congested link learns only that others have a newer view. It
    // must not go on with a configuration that was replaced four seconds ago.
    test('refuses requests while another instance has a current view', async t => {
      const { time, board, obtain, confirm } = createFixture(
        () => () => Promise.resolve(false),
      );
      await time.run(TOO_OLD_MS);
      board.peersAsOfMs = TOO_OLD_MS - 100;
      t.deepEqual(await obtain(), { state: 'outdated', waitedMs: 0 });
      // By now, the other instance's view is outdated as well.
      await time.run(OBTAIN_MS);
      confirmOutage(board, time);
      t.deepEqual(await obtain(), { state: 'usable', waitedMs: 0 });
      board.peersAsOfMs = time.nowMs - 100;
      t.deepEqual(await obtain(), { state: 'outdated', waitedMs: 0 });
      confirm();
      t.is((await obtain()).state, 'usable');
    });
  });
});
