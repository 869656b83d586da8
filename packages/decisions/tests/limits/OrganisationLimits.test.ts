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

/** Offers more than the limit on every instance and counts what passes. */
function admitted(offers: readonly number[], seconds: number, limit: number) {
  const nodes = offers.map(() => new OrganisationLimits());
  const ledger = new DemandLedger();
  nodes.forEach(node => {
    // An instance knows the fleet before it has a configuration.
    node.closePeriod(offers.length, 0);
    node.configure([limited(limit)], 0);
  });
  let passed = 0;
  for (let second = 0; second < seconds; second += 1) {
    const nowMs = second * PERIOD_MS;
    nodes.forEach((node, index) => {
      Array.from({ length: offers[index] ?? 0 }, (_, i) => i).forEach(i => {
        const atMs = nowMs + (i * PERIOD_MS) / (offers[index] ?? 1);
        passed += node.charge(ID, 1, atMs) === 0 ? 1 : 0;
      });
    });
    const endMs = nowMs + PERIOD_MS;
    nodes.forEach((node, index) => {
      node.closePeriod(offers.length, endMs).forEach(({ requests }) => {
        const reporter = brand<InstanceId>(`entry-${index}`);
        const share = ledger.report(
          ID,
          reporter,
          requests,
          offers.length,
          endMs,
        );
        if (share !== null) {
          node.grant(ID, share, endMs);
        }
      });
    });
  }
  return passed;
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

  it('holds the limit over all instances when one gets most calls', t => {
    // An organisation exceeds its limit eightfold by calling all instances.
    const seconds = 30;
    const passed = admitted([100, 5, 5, 5], seconds, 20);
    // Two seconds of burst at the start are allowed on top.
    t.true(passed <= 20 * (seconds + 3), `${passed}`);
    t.true(passed >= 20 * seconds * 0.8, `${passed}`);
  });

  it('says when a retry is useful', t => {
    const node = new OrganisationLimits();
    node.configure([limited(1)], 0);
    const waits = Array.from({ length: 4 }, () => node.charge(ID, 1, 0));
    t.deepEqual(waits.slice(0, 2), [0, 0]);
    t.true((waits[3] ?? 0) > 0);
    t.is(node.charge(ID, 1, waits[3] ?? 0), 0);
  });

  it('returns to the even share when the owner falls silent', t => {
    // An instance keeps nearly a whole limit for ever, because the owner that
    // gave it died and the others were given their shares by the next one.
    const node = new OrganisationLimits();
    node.closePeriod(4, 0);
    node.configure([limited(40)], 0);
    node.grant(ID, 1, 0);
    node.closePeriod(4, 20_000);
    const passed = Array.from({ length: 200 }, () =>
      node.charge(ID, 1, 30_000),
    ).filter(waitMs => waitMs === 0).length;
    // A quarter of forty a second, saved up for two seconds.
    t.is(passed, 20);
  });

  it('gives no shares before a new owner has heard the reporters', t => {
    const ledger = new DemandLedger();
    const ask = (name: string, atMs: number) =>
      ledger.report(ID, brand<InstanceId>(name), 10, 4, atMs);
    t.is(ask('a', 0), null);
    t.is(ask('b', 100), null);
    t.is(ask('a', 3000), 0.2 / 4 + 0.8 / 2);
  });

  it('drops organisations that were removed', t => {
    const node = new OrganisationLimits();
    node.configure([limited(1)], 0);
    node.configure([], 0);
    t.is(node.charge(ID, 1e12, 0), 0);
  });
});
