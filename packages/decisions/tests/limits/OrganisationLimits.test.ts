import fc from 'fast-check';
import { describe } from '@jujubecroft/testing';
import type { OrganisationId } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import { demandShare, OrganisationLimits } from '../../src/index.js';
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
  nodes.forEach(node => {
    // An instance knows the fleet before it has a configuration.
    node.rebalance(
      offers.slice(1).map(() => new Map()),
      0,
    );
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
    nodes.forEach(node => {
      node.takeDemand();
    });
    nodes.forEach((node, index) => {
      const peers = nodes.filter((_, other) => other !== index);
      node.rebalance(
        peers.map(({ demands }) => demands),
        nowMs + PERIOD_MS,
      );
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

  it('drops organisations that were removed', t => {
    const node = new OrganisationLimits();
    node.configure([limited(1)], 0);
    node.configure([], 0);
    t.is(node.charge(ID, 1e12, 0), 0);
  });
});
