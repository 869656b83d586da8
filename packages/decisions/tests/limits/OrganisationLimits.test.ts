import fc from 'fast-check';
import { describe } from '@jujubecroft/testing';
import type { InstanceId, OrganisationId } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import {
  DemandLedger,
  demandShare,
  OrganisationLimits,
} from '../../src/index.js';
import { organisation } from '../helpers/RouterFixture.js';

const ID = brand<OrganisationId>('org');
const SEED = 5;
const PERIOD_MS = 1000;

const limited = (requestsPerSecond: number) => ({
  ...organisation('org'),
  limits: { requestsPerSecond, tokensPerSecond: 1e9 },
});

/**
 * Offers each instance a number of requests a second; returns how many of them
 * all were admitted.
 */
function countAdmitted(
  offers: readonly number[],
  seconds: number,
  limit: number,
) {
  const limiters = offers.map(() => new OrganisationLimits());
  const ledger = new DemandLedger();
  limiters.forEach(limiter => {
    // An instance knows the size of the fleet before it has a configuration.
    limiter.closePeriod(offers.length, 0);
    limiter.configure([limited(limit)], 0);
  });
  let admittedCount = 0;
  for (let second = 0; second < seconds; second += 1) {
    const nowMs = second * PERIOD_MS;
    limiters.forEach((limiter, index) => {
      Array.from({ length: offers[index] ?? 0 }, (_, i) => i).forEach(i => {
        const atMs = nowMs + (i * PERIOD_MS) / (offers[index] ?? 1);
        admittedCount += limiter.charge(ID, 1, atMs) === 0 ? 1 : 0;
      });
    });
    const endMs = nowMs + PERIOD_MS;
    limiters.forEach((limiter, index) => {
      limiter.closePeriod(offers.length, endMs).forEach(({ requests }) => {
        const reporter = brand<InstanceId>(`entry-${index}`);
        const share = ledger.report(
          ID,
          reporter,
          requests,
          offers.length,
          endMs,
        );
        if (share !== null) {
          limiter.grant(ID, share, endMs);
        }
      });
    });
  }
  return admittedCount;
}

describe('OrganisationLimits', ({ it }) => {
  it('splits a limit into shares that add up to one', t => {
    const property = fc.property(
      fc.array(fc.integer({ min: 0, max: 1000 }), {
        minLength: 1,
        maxLength: 20,
      }),
      demands => {
        const shares = demands.map((own, index) =>
          demandShare(
            own,
            demands.filter((_, other) => other !== index),
          ),
        );
        const total = shares.reduce((sum, share) => sum + share, 0);
        return Math.abs(total - 1) < 1e-9;
      },
    );
    const result = fc.check(property, { seed: SEED });
    t.false(result.failed, fc.defaultReportMessage(result) ?? '');
  });

  it('enforces the limit over all instances when one of them gets most requests', t => {
    // Guards against an organisation that exceeds its limit eightfold by calling
    // all instances.
    const seconds = 30;
    const admittedCount = countAdmitted([100, 5, 5, 5], seconds, 20);
    // A burst of two seconds at the start is allowed on top.
    t.true(admittedCount <= 20 * (seconds + 3), `${admittedCount}`);
    t.true(admittedCount >= 20 * seconds * 0.8, `${admittedCount}`);
  });

  it('returns the time after which a retry is useful', t => {
    const limiter = new OrganisationLimits();
    limiter.configure([limited(1)], 0);
    const waits = Array.from({ length: 4 }, () => limiter.charge(ID, 1, 0));
    t.deepEqual(waits.slice(0, 2), [0, 0]);
    t.true((waits[3] ?? 0) > 0);
    t.is(limiter.charge(ID, 1, waits[3] ?? 0), 0);
  });

  it('returns to the even share when the owner stops answering', t => {
    // Guards against an instance that keeps nearly a whole limit for good, because
    // the owner that granted it crashed and the next owner granted shares only to
    // other instances.
    const limiter = new OrganisationLimits();
    limiter.closePeriod(4, 0);
    limiter.configure([limited(40)], 0);
    limiter.grant(ID, 1, 0);
    limiter.closePeriod(4, 20_000);
    const admittedCount = Array.from({ length: 200 }, () =>
      limiter.charge(ID, 1, 30_000),
    ).filter(waitMs => waitMs === 0).length;
    // A quarter of 40 requests a second, saved up for two seconds.
    t.is(admittedCount, 20);
  });

  it('gets no share from a new owner that has not collected reports yet', t => {
    const ledger = new DemandLedger();
    const ask = (name: string, atMs: number) =>
      ledger.report(ID, brand<InstanceId>(name), 10, 4, atMs);
    t.is(ask('a', 0), null);
    t.is(ask('b', 100), null);
    t.is(ask('a', 3000), 0.2 / 4 + 0.8 / 2);
  });

  it('does not limit organisations that were removed', t => {
    const limiter = new OrganisationLimits();
    limiter.configure([limited(1)], 0);
    limiter.configure([], 0);
    t.is(limiter.charge(ID, 1e12, 0), 0);
  });
});
