import type { HolderCall } from '@jujubecroft/testing';
import { describe, findLeaseViolation } from '@jujubecroft/testing';
import { brand } from '@jujubecroft/types';

import type { HolderId, LeaseState } from '../../src/index.js';
import { HolderLease } from '../../src/index.js';
import { exploreLease, LEASE_MS } from './helpers/exploreLease.js';

const A = brand<HolderId>('a');
const B = brand<HolderId>('b');

function callOf(holder: HolderId, token: number, atMs: number): HolderCall {
  return { holder, token, atMs };
}

/** Faulty lease: takes over from a holder whose lease has not expired. */
class EarlyTakeoverLease extends HolderLease {
  override onRead(...[row, storeMs]: Parameters<HolderLease['onRead']>): void {
    super.onRead(row, storeMs + 10 * LEASE_MS);
  }
}

/** Faulty lease: measures its duration from the answer to the write. */
class AnswerTimedLease extends HolderLease {
  override onWritten(
    ...[write, version]: Parameters<HolderLease['onWritten']>
  ): void {
    super.onWritten(write, version, this.nowMs + LEASE_MS);
  }

  constructor(
    options: ConstructorParameters<typeof HolderLease>[0],
    state: LeaseState | undefined,
  ) {
    super(options, state);
    this.nowMs = options.clock();
  }

  private readonly nowMs: number;
}

/** Faulty lease: doesn't wait in a new era until earlier leases have expired. */
class EagerEraLease extends HolderLease {
  constructor(
    options: ConstructorParameters<typeof HolderLease>[0],
    state: LeaseState | undefined,
  ) {
    super(options, state && { ...state, eraSeenMs: -Infinity });
  }
}

describe('findLeaseViolation, the check of calls that holders make', ({
  it,
}) => {
  it('accepts holders that follow one another', t => {
    const calls = [
      callOf(A, 1, 0),
      callOf(A, 1, 900),
      callOf(B, 2, 4000),
      callOf(B, 3, 9000),
    ];
    t.is(findLeaseViolation(calls, LEASE_MS), null);
  });

  it('finds two holders with the same token', t => {
    t.is(
      findLeaseViolation([callOf(A, 1, 0), callOf(B, 1, 9000)], LEASE_MS),
      'two holders with token 1',
    );
  });

  it('finds a call with a lower token than an earlier call', t => {
    const calls = [callOf(A, 1, 0), callOf(B, 2, 9000), callOf(A, 1, 20_000)];
    t.is(findLeaseViolation(calls, LEASE_MS), 'token 1 after a higher one');
  });

  it('finds a holder that returns within the duration of a lease', t => {
    const calls = [callOf(A, 1, 0), callOf(B, 2, 1000), callOf(A, 3, 2500)];
    t.is(findLeaseViolation(calls, LEASE_MS), 'a came back within a lease');
  });
});

describe('HolderLease in every interleaving of competing instances', ({
  it,
}) => {
  it('has one holder at a time, with two instances', t => {
    const { states, fault } = exploreLease(2, 9);
    t.log(`${states} states`);
    t.is(fault, null);
  });

  it('has one holder at a time, with three instances', t => {
    const { states, fault } = exploreLease(3, 7);
    t.log(`${states} states`);
    t.is(fault, null);
  });

  it('is found faulty if it takes over a lease that has not expired', t => {
    const { fault } = exploreLease(
      2,
      10,
      (options, state) => new EarlyTakeoverLease(options, state),
    );
    t.not(fault, null);
  });

  it('is found faulty if it measures the lease from the answer', t => {
    const { fault } = exploreLease(
      2,
      11,
      (options, state) => new AnswerTimedLease(options, state),
    );
    t.not(fault, null);
  });

  it('has one holder at a time, with a store that is restored once', t => {
    const { states, fault } = exploreLease(2, 9, undefined, 1);
    t.log(`${states} states`);
    t.is(fault, null);
  });

  it('has one holder at a time, with a store that is restored twice', t => {
    const { states, fault } = exploreLease(2, 8, undefined, 2);
    t.log(`${states} states`);
    t.is(fault, null);
  });

  it('is found faulty if it takes over at once in a new era', t => {
    const { fault } = exploreLease(
      2,
      9,
      (options, state) => new EagerEraLease(options, state),
      1,
    );
    t.not(fault, null);
  });
});
