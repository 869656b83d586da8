import { describe } from '@jujubecroft/testing';

import { RetryBudget } from '../../src/gateway/RetryBudget.js';
import { manualClock, SERVICE } from './helpers/gatewayFixture.js';

const RULES = { ratio: 0.2, extra: 50, windowMs: 10_000 };

describe('RetryBudget', ({ it }) => {
  it('keeps the retries of all instances together within the limit', t => {
    // Guards against each of eight instances applying the whole limit: together
    // they would send eight times the allowed retries and slow a failing
    // service further.
    const clock = manualClock();
    const budgets = Array.from({ length: 8 }, () => {
      const budget = new RetryBudget(RULES, clock.now);
      budget.onInstances(8);
      return budget;
    });
    budgets.forEach(budget => {
      Array.from({ length: 40 }).forEach(() => {
        budget.onRequest(SERVICE);
      });
    });
    const taken = budgets.map(
      budget =>
        Array.from({ length: 100 }).filter(() => budget.take(SERVICE)).length,
    );
    const sum = taken.reduce((total, count) => total + count, 0);
    t.true(sum > 0);
    t.true(sum <= RULES.ratio * 320 + RULES.extra);
  });

  it('does not increase its part immediately when peers disappear', t => {
    // During a network partition, each side sees few peers. If the extra part
    // were divided by these alone, both sides together would use twice the
    // limit.
    const clock = manualClock();
    const budget = new RetryBudget(RULES, clock.now);
    budget.onInstances(10);
    const before = budget.left(SERVICE);
    budget.onInstances(2);
    t.is(budget.left(SERVICE), before);
    clock.advance(30_000);
    budget.onInstances(2);
    t.true(budget.left(SERVICE) > before);
  });

  it('releases retries after the window', t => {
    const clock = manualClock();
    const budget = new RetryBudget({ ...RULES, extra: 2 }, clock.now);
    t.true(budget.take(SERVICE));
    t.false(budget.take(SERVICE));
    clock.advance(10_001);
    t.true(budget.take(SERVICE));
  });
});
