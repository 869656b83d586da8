import { describe } from '@jujubecroft/testing';
import fc from 'fast-check';

import { maxMinShares } from '../../../src/gateway/shares/maxMinShares.js';

const DEMANDS = fc.array(
  fc.record({
    demand: fc.double({ min: 0, max: 1e6, noNaN: true }),
    weight: fc.double({ min: 0.1, max: 10, noNaN: true }),
  }),
  { minLength: 1, maxLength: 24 },
);
const CAPACITY = fc.double({ min: 0, max: 1e7, noNaN: true });
const ROUNDING = 1e-6;

function sumOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}

describe('maxMinShares', ({ it }) => {
  it('gives out the capacity or the demand, whichever is smaller, and no party more than it demands', t => {
    fc.assert(
      fc.property(CAPACITY, DEMANDS, (capacity, demands) => {
        const shares = maxMinShares(capacity, demands);
        const total = sumOf(demands.map(({ demand }) => demand));
        const expected = Math.min(capacity, total);
        return (
          Math.abs(sumOf(shares) - expected) <= ROUNDING * (1 + expected) &&
          shares.every((share, index) => share <= (demands[index]?.demand ?? 0))
        );
      }),
    );
    t.pass();
  });

  // Guards against an organisation that gets more per weight than one whose
  // demand is not met.
  it('leaves no party unsatisfied below the share per weight of another', t => {
    fc.assert(
      fc.property(CAPACITY, DEMANDS, (capacity, demands) => {
        const shares = maxMinShares(capacity, demands);
        const parties = demands.map((party, index) => ({
          ...party,
          share: shares[index] ?? 0,
        }));
        const highest = Math.max(
          ...parties.map(({ share, weight }) => share / weight),
        );
        return parties
          .filter(({ share, demand }) => share < demand * (1 - ROUNDING))
          .every(
            ({ share, weight }) =>
              share / weight >= highest - ROUNDING * (1 + highest),
          );
      }),
    );
    t.pass();
  });

  it('divides by weight', t => {
    const demands = [
      { demand: 10, weight: 1 },
      { demand: 100, weight: 1 },
      { demand: 100, weight: 2 },
    ];
    t.deepEqual(maxMinShares(100, demands), [10, 30, 60]);
  });
});
