import { describe } from '@jujubecroft/testing';

import { RetryBudget } from '../../src/gateway/RetryBudget.js';
import { manualClock, SERVICE } from './helpers/gatewayFixture.js';

const RULES = { ratio: 0.2, extra: 50, windowMs: 10_000 };

describe('RetryBudget', ({ it }) => {
  it('keeps the sum over all instances within the bound', t => {
    // A failing service gets slower still: each of eight instances retries by a
    // bound of its own, and together they send eight times what is allowed.
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

  it('does not grow its part at once when peers fall out of sight', t => {
    // During a partition each side sees few peers. Were the extra part split by
    // those alone, both sides together would take twice as much.
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

  it('forgets repeats after the window', t => {
    const clock = manualClock();
    const budget = new RetryBudget({ ...RULES, extra: 2 }, clock.now);
    t.true(budget.take(SERVICE));
    t.false(budget.take(SERVICE));
    clock.advance(10_001);
    t.true(budget.take(SERVICE));
  });
});
