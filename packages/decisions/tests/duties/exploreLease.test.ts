import type { DutyAct } from '@jujubecroft/testing';
import { describe, faultOf } from '@jujubecroft/testing';
import { brand } from '@jujubecroft/types';

import type { HolderId, LeaseState } from '../../src/index.js';
import { HolderLease } from '../../src/index.js';
import { exploreLease, LEASE_MS } from './helpers/exploreLease.js';

const A = brand<HolderId>('a');
const B = brand<HolderId>('b');

function act(holder: HolderId, token: number, atMs: number): DutyAct {
  return { holder, token, atMs };
}

/** Takes a lease that others still hold, as if it had run out. */
class EarlyTakeoverLease extends HolderLease {
  override onRead(...[row, storeMs]: Parameters<HolderLease['onRead']>): void {
    super.onRead(row, storeMs + 10 * LEASE_MS);
  }
}

/** Counts its lease from the answer to its write. */
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

describe('the check of what holders do', ({ it }) => {
  it('finds nothing where one follows the other', t => {
    const acts = [
      act(A, 1, 0),
      act(A, 1, 900),
      act(B, 2, 4000),
      act(B, 3, 9000),
    ];
    t.is(faultOf(acts, LEASE_MS), null);
  });

  it('finds two holders with one token', t => {
    t.is(
      faultOf([act(A, 1, 0), act(B, 1, 9000)], LEASE_MS),
      'two holders with token 1',
    );
  });

  it('finds a call with a token that was followed by a higher one', t => {
    const acts = [act(A, 1, 0), act(B, 2, 9000), act(A, 1, 20_000)];
    t.is(faultOf(acts, LEASE_MS), 'token 1 after a higher one');
  });

  it('finds a holder that comes back within a lease', t => {
    const acts = [act(A, 1, 0), act(B, 2, 1000), act(A, 3, 2500)];
    t.is(faultOf(acts, LEASE_MS), 'a came back within a lease');
  });
});

describe('every order in which instances compete for the duties', ({ it }) => {
  it('leaves one holder at a time, with two of them', t => {
    const { states, fault } = exploreLease(2, 9);
    t.log(`${states} states`);
    t.is(fault, null);
  });

  it('leaves one holder at a time, with three of them', t => {
    const { states, fault } = exploreLease(3, 7);
    t.log(`${states} states`);
    t.is(fault, null);
  });

  it('finds a lease that is taken before it has run out', t => {
    const { fault } = exploreLease(
      2,
      10,
      (options, state) => new EarlyTakeoverLease(options, state),
    );
    t.not(fault, null);
  });

  it('finds a lease that is counted from the answer', t => {
    const { fault } = exploreLease(
      2,
      11,
      (options, state) => new AnswerTimedLease(options, state),
    );
    t.not(fault, null);
  });
});
