import { describe } from '@jujubecroft/testing';
import type { InstanceId } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import type { HolderId, Holding, LeaseInputs } from '../../src/index.js';
import { HolderLease, NO_NOTES } from '../../src/index.js';
import type { ManualClock } from '../gateway/helpers/gatewayFixture.js';
import {
  manualClock,
  storeClockOn,
} from '../gateway/helpers/gatewayFixture.js';

const LEASE_MS = 3000;
const FACTS: LeaseInputs = {
  rank: () => 0,
  news: null,
  notes: NO_NOTES,
  givesUp: false,
};

function leaseOf(name: string, clock: ManualClock): HolderLease {
  return new HolderLease({
    holder: brand<HolderId>(name),
    instance: brand<InstanceId>(name),
    leaseMs: LEASE_MS,
    clock: clock.now,
    storeClock: storeClockOn(clock),
  });
}

/** A lease that has just been taken from nobody. */
function takenBy(
  name: string,
  clock: ManualClock,
): { lease: HolderLease; holding: Holding } {
  const lease = leaseOf(name, clock);
  lease.onRead({ version: 0, holding: null }, clock.now());
  const step = lease.next(FACTS);
  if (step.kind !== 'write') {
    throw new Error(`expected a write, got ${step.kind}`);
  }
  lease.onWritten(step.write, 1, clock.now());
  return { lease, holding: step.write.holding };
}

describe('HolderLease', ({ it, describe: inner }) => {
  inner('of the holder', ({ it: holds }) => {
    holds('ends on its own clock before others may take over', t => {
      const clock = manualClock();
      const { lease, holding } = takenBy('a', clock);
      t.is(lease.token, 1);
      clock.advance(LEASE_MS - 400);
      t.is(lease.token, null);
      t.true(holding.untilMs > clock.now());
    });

    holds('is renewed in time under the same token', t => {
      const clock = manualClock();
      const { lease } = takenBy('a', clock);
      clock.advance(1000);
      const step = lease.next(FACTS);
      t.true(step.kind === 'write' && step.write.holding.token === 1);
    });

    // Guards against a call without an answer that takes back a later one.
    holds('takes a new token where a call may be carried out late', t => {
      const clock = manualClock();
      const { lease } = takenBy('a', clock);
      lease.renumber();
      const step = lease.next(FACTS);
      t.true(step.kind === 'write' && step.write.holding.token === 2);
    });

    // Guards against acting on a lease that ended while the machine stood still.
    holds('does not act after it stood still until it has read', t => {
      const clock = manualClock();
      const { lease } = takenBy('a', clock);
      lease.drop();
      t.is(lease.token, null);
    });

    holds('lets the next one begin where it gives up', t => {
      const clock = manualClock();
      const { lease } = takenBy('a', clock);
      const step = lease.next({ ...FACTS, givesUp: true });
      t.true(step.kind === 'write' && step.write.holding.released);
      if (step.kind === 'write') {
        lease.onWritten(step.write, 2, clock.now());
        clock.advance(10);
        const next = leaseOf('b', clock);
        next.onRead({ version: 2, holding: step.write.holding }, clock.now());
        t.is(next.next(FACTS).kind, 'write');
      }
      t.is(lease.token, null);
    });
  });

  inner('of another instance', ({ it: waits }) => {
    waits('is not taken before it has run out', t => {
      const clock = manualClock();
      const { holding } = takenBy('a', clock);
      const other = leaseOf('b', clock);
      clock.advance(LEASE_MS - 10);
      other.onRead({ version: 1, holding }, clock.now());
      t.is(other.next(FACTS).kind, 'idle');
    });

    waits('is taken under a higher token, with the notes', t => {
      const clock = manualClock();
      const { holding } = takenBy('a', clock);
      const other = leaseOf('b', clock);
      clock.advance(LEASE_MS + 10);
      const notes = { ...NO_NOTES, reportedThrough: 7 };
      other.onRead({ version: 1, holding: { ...holding, notes } }, clock.now());
      const step = other.next(FACTS);
      t.true(step.kind === 'write' && step.write.holding.token === 2);
      t.true(
        step.kind === 'write' && step.write.holding.notes.reportedThrough === 7,
      );
    });

    // Guards against a fleet that presses the store when the holder is gone.
    waits('is looked at by one candidate after the other', t => {
      const clock = manualClock();
      const { holding } = takenBy('a', clock);
      const news = { ...holding, decidedThrough: 0 };
      clock.advance(LEASE_MS + 300);
      const dueAt = [0, 1, 2, 5, 60].filter(
        rank =>
          leaseOf('b', clock).next({ ...FACTS, rank: () => rank, news })
            .kind === 'read',
      );
      t.deepEqual(dueAt, [0]);
    });
  });

  it('takes over from itself after a restart, under a token of its own', t => {
    const clock = manualClock();
    const { holding } = takenBy('a', clock);
    const again = leaseOf('a', clock);
    again.onRead({ version: 1, holding }, clock.now());
    const step = again.next(FACTS);
    t.true(step.kind === 'write' && step.write.holding.token === 2);
  });
});
