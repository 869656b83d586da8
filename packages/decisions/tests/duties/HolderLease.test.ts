import { describe } from '@jujubecroft/testing';
import type { InstanceId } from '@jujubecroft/types';
import { brand, toStoreVersion } from '@jujubecroft/types';

import type {
  HolderId,
  Holding,
  HoldingRow,
  LeaseInputs,
} from '../../src/index.js';
import { HolderLease, NO_NOTES } from '../../src/index.js';
import type { ManualClock } from '../gateway/helpers/gatewayFixture.js';
import {
  manualClock,
  storeClockOn,
} from '../gateway/helpers/gatewayFixture.js';

const LEASE_MS = 3000;
const INPUTS: LeaseInputs = {
  rank: () => 0,
  latestHolding: null,
  notes: NO_NOTES,
  mustRelease: false,
};

/** Row of an era, 0 unless stated. */
function rowOf(
  version: number,
  holding: Holding | null,
  era = 0,
  earlier: Holding | null = null,
): HoldingRow {
  return { era, version, holding, earlier };
}

function leaseOf(name: string, clock: ManualClock): HolderLease {
  return new HolderLease({
    holder: brand<HolderId>(name),
    instance: brand<InstanceId>(name),
    leaseMs: LEASE_MS,
    clock: clock.now,
    storeClock: storeClockOn(clock),
  });
}

/** A lease that was acquired without a previous holder. */
function acquiredBy(
  name: string,
  clock: ManualClock,
): { lease: HolderLease; holding: Holding } {
  const lease = leaseOf(name, clock);
  lease.onRead(rowOf(0, null), clock.now());
  const step = lease.next(INPUTS);
  if (step.kind !== 'write') {
    throw new Error(`expected a write, got ${step.kind}`);
  }
  lease.onWritten(step.write, 1, clock.now());
  return { lease, holding: step.write.holding };
}

describe('HolderLease', ({ it, describe: inner }) => {
  inner('at the holder', ({ it: holds }) => {
    holds('ends on the clock of the holder before others may take over', t => {
      const clock = manualClock();
      const { lease, holding } = acquiredBy('a', clock);
      t.is(lease.token, 1);
      clock.advance(LEASE_MS - 400);
      t.is(lease.token, null);
      t.true(holding.untilMs > clock.now());
    });

    holds('is renewed before it expires, under the same token', t => {
      const clock = manualClock();
      const { lease } = acquiredBy('a', clock);
      clock.advance(1000);
      const step = lease.next(INPUTS);
      t.true(step.kind === 'write' && step.write.holding.token === 1);
    });

    // Guards against an unanswered call that is executed late and undoes a newer one.
    holds('takes a new token with the next write when one is requested', t => {
      const clock = manualClock();
      const { lease } = acquiredBy('a', clock);
      lease.requestNewToken();
      const step = lease.next(INPUTS);
      t.true(step.kind === 'write' && step.write.holding.token === 2);
    });

    // Guards against acting on a lease that expired while the machine was paused.
    holds('has no token after it was invalidated', t => {
      const clock = manualClock();
      const { lease } = acquiredBy('a', clock);
      lease.invalidate();
      t.is(lease.token, null);
    });

    holds('can be taken over at once after the holder released it', t => {
      const clock = manualClock();
      const { lease } = acquiredBy('a', clock);
      const step = lease.next({ ...INPUTS, mustRelease: true });
      t.true(step.kind === 'write' && step.write.holding.released);
      if (step.kind === 'write') {
        lease.onWritten(step.write, 2, clock.now());
        clock.advance(10);
        const next = leaseOf('b', clock);
        next.onRead(rowOf(2, step.write.holding), clock.now());
        t.is(next.next(INPUTS).kind, 'write');
      }
      t.is(lease.token, null);
    });
  });

  inner('at another instance', ({ it: waits }) => {
    waits('is not taken over before it has expired', t => {
      const clock = manualClock();
      const { holding } = acquiredBy('a', clock);
      const other = leaseOf('b', clock);
      clock.advance(LEASE_MS - 10);
      other.onRead(rowOf(1, holding), clock.now());
      t.is(other.next(INPUTS).kind, 'idle');
    });

    waits(
      'is taken over with a higher token and the notes of the holder',
      t => {
        const clock = manualClock();
        const { holding } = acquiredBy('a', clock);
        const other = leaseOf('b', clock);
        clock.advance(LEASE_MS + 10);
        const notes = { ...NO_NOTES, reportedThrough: 7 };
        other.onRead(rowOf(1, { ...holding, notes }), clock.now());
        const step = other.next(INPUTS);
        t.true(step.kind === 'write' && step.write.holding.token === 2);
        t.true(
          step.kind === 'write' &&
            step.write.holding.notes.reportedThrough === 7,
        );
      },
    );

    // Guards against all instances reading the store at once when the holder is gone.
    waits('is read by the candidates one after another, by rank', t => {
      const clock = manualClock();
      const { holding } = acquiredBy('a', clock);
      const latestHolding = { ...holding, decidedThrough: 0 };
      clock.advance(LEASE_MS + 300);
      const dueAt = [0, 1, 2, 5, 60].filter(
        rank =>
          leaseOf('b', clock).next({
            ...INPUTS,
            rank: () => rank,
            latestHolding,
          }).kind === 'read',
      );
      t.deepEqual(dueAt, [0]);
    });
  });

  it('is taken over by a restarted holder at once, with a new token', t => {
    const clock = manualClock();
    const { holding } = acquiredBy('a', clock);
    const again = leaseOf('a', clock);
    again.onRead(rowOf(1, holding), clock.now());
    const step = again.next(INPUTS);
    t.true(step.kind === 'write' && step.write.holding.token === 2);
  });

  // Guards against two holders, or a token that is used twice, after the store was
  // restored from a copy that lacks the latest holder.
  inner('in a new era of the store', ({ it: holds }) => {
    const ERA_1 = toStoreVersion(1, 1);

    holds('is kept by its holder, with a higher token and its notes', t => {
      const clock = manualClock();
      const { lease, holding } = acquiredBy('a', clock);
      lease.onOutcomeUnknown();
      t.is(lease.next(INPUTS).kind, 'read');
      lease.onRead(rowOf(0, null, 1, holding), clock.now());
      t.is(lease.token, 1, 'it still holds the lease of the era before');
      const notes = { ...NO_NOTES, reportedThrough: 7 };
      const step = lease.next({ ...INPUTS, notes });
      if (step.kind !== 'write') {
        throw new Error(`expected a write, got ${step.kind}`);
      }
      const { era, expectedVersion, holding: next } = step.write;
      t.deepEqual([era, expectedVersion], [1, 0]);
      t.true(next.token > 1_000_000);
      t.is(next.notes.reportedThrough, 7);
      lease.onWritten(step.write, ERA_1, clock.now());
      t.is(lease.token, next.token);
    });

    holds('is not acquired by others for the length of a lease', t => {
      const clock = manualClock();
      const { holding } = acquiredBy('a', clock);
      clock.advance(10 * LEASE_MS);
      const other = leaseOf('b', clock);
      other.onRead(rowOf(0, null, 1, holding), clock.now());
      t.is(other.next(INPUTS).kind, 'idle');
      t.is(other.next(INPUTS).kind, 'idle', 'nor is the row read meanwhile');
      clock.advance(LEASE_MS);
      t.is(other.next(INPUTS).kind, 'read');
      other.onRead(rowOf(0, null, 1, holding), clock.now());
      const step = other.next(INPUTS);
      t.true(step.kind === 'write' && step.write.holding.token > 1_000_000);
    });

    holds('is not granted by a write that the restored store executed', t => {
      const clock = manualClock();
      const { lease } = acquiredBy('a', clock);
      clock.advance(1000);
      const step = lease.next(INPUTS);
      if (step.kind === 'write') {
        lease.onWritten(step.write, ERA_1, clock.now());
      }
      clock.advance(LEASE_MS - 1100);
      t.is(lease.token, null);
      t.is(lease.next(INPUTS).kind, 'read');
    });

    holds('ends if another instance holds it there', t => {
      const clock = manualClock();
      const { lease, holding } = acquiredBy('a', clock);
      const other = { ...holding, holder: brand<HolderId>('b'), token: 2 };
      lease.onRead(rowOf(ERA_1, other, 1), clock.now());
      t.is(lease.token, null);
    });
  });
});
