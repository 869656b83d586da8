import { describe } from '@jujubecroft/testing';

import {
  COOLDOWN_MS,
  FAULT_KINDS,
  planFaults,
} from '../../src/faults/planFaults.js';

const SECONDS = 40;
/** Kinds of long faults. */
const LONG_KINDS: readonly string[] = [
  'crashing-request',
  'replica-limit',
  'replica-leave-in-answers',
  'replica-requests-pauses',
  'store-restored',
];
const SEEDS = Array.from({ length: 100 }, (_, index) => index + 1);

describe('planFaults', ({ it }) => {
  it('draws the same plan for the same seed', t => {
    t.deepEqual(planFaults(7, SECONDS), planFaults(7, SECONDS));
    t.notDeepEqual(planFaults(7, SECONDS), planFaults(8, SECONDS));
  });

  it('ends every fault before the fault-free period at the end', t => {
    SEEDS.flatMap(seed => planFaults(seed, SECONDS)).forEach(
      ({ atMs, forMs }) => {
        t.true(atMs + forMs <= SECONDS * 1000 - COOLDOWN_MS);
      },
    );
  });

  it('draws faults that overlap and faults that repeat', t => {
    const plans = SEEDS.map(seed => planFaults(seed, SECONDS));
    const overlaps = plans.filter(plan =>
      plan.some((fault, index) => {
        const next = plan[index + 1];
        return next !== undefined && next.atMs < fault.atMs + fault.forMs;
      }),
    );
    const repeated = plans.filter(
      plan => new Set(plan.map(({ kind }) => kind)).size < plan.length,
    );
    t.true(overlaps.length > SEEDS.length / 2);
    t.true(repeated.length > SEEDS.length / 2);
  });

  it('draws the long faults independently of the short ones', t => {
    const short = FAULT_KINDS.filter(kind => !LONG_KINDS.includes(kind));
    const withLong = SEEDS.map(seed => planFaults(seed, SECONDS));
    const withoutLong = SEEDS.map(seed => planFaults(seed, SECONDS, short));
    t.deepEqual(
      withLong.map(plan =>
        plan.filter(({ kind }) => !LONG_KINDS.includes(kind)),
      ),
      withoutLong,
    );
    LONG_KINDS.forEach(long => {
      t.true(withLong.some(plan => plan.some(({ kind }) => kind === long)));
    });
  });

  it('draws only from the given kinds', t => {
    const plan = planFaults(3, SECONDS, ['gateway-kill', 'store-away']);
    t.true(plan.length > 0);
    t.true(
      plan.every(
        ({ kind }) => kind === 'gateway-kill' || kind === 'store-away',
      ),
    );
  });
});
