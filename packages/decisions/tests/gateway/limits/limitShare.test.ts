import { describe } from '@jujubecroft/testing';

import { limitShare } from '../../../src/gateway/limits/limitShare.js';

const SIZES = [1, 2, 6, 8, 60, 195, 370];
const LIMITS = [0.25, 0.5, 1, 4.4, 20, 300];

/** Share of each instance in the limit of one replica. */
function sharesOf(
  perS: number,
  instances: number,
  index: number,
  replicas: number,
): readonly number[] {
  return Array.from({ length: instances }, (_, rank) =>
    limitShare(perS, { rank, instances, index, replicas }),
  );
}

const isSender = (share: number): boolean => share > 0;
const sum = (numbers: readonly number[]): number =>
  numbers.reduce((total, one) => total + one, 0);

describe('limitShare', ({ it }) => {
  it('gives shares that add up to the limit in fleets of any size', t => {
    SIZES.forEach(instances => {
      LIMITS.forEach(perS => {
        const total = sum(sharesOf(perS, instances, 2, 6));
        t.true(Math.abs(total - perS) < 1e-9, `${perS} at ${instances}`);
      });
    });
  });

  it('gives only a few instances a share of a low limit', t => {
    const shares = sharesOf(4.4, 195, 3, 55);
    t.is(shares.filter(isSender).length, 4);
  });

  it('spreads the senders of a service evenly over the fleet', t => {
    const ofEach = Array.from({ length: 55 }, (_, index) =>
      sharesOf(4.4, 195, index, 55),
    );
    const rates = Array.from({ length: 195 }, (_, rank) =>
      sum(ofEach.map(shares => shares[rank] ?? 0)),
    );
    // Four senders for each of 55 replicas are 220 shares for 195 instances.
    t.true(rates.every(rate => rate >= 1.1 && rate <= 2.2));
  });

  it('keeps the same senders when the limit changes a little', t => {
    const before = sharesOf(4.4, 60, 1, 12).map(isSender);
    const after = sharesOf(5.1, 60, 1, 12).map(isSender);
    t.deepEqual(after, before);
  });

  it('moves each sender by at most one position when an instance leaves', t => {
    const places = (instances: number): readonly number[] =>
      sharesOf(4.4, instances, 1, 12).flatMap((share, rank) =>
        isSender(share) ? [rank] : [],
      );
    const after = places(59);
    places(60).forEach((rank, place) => {
      t.true(Math.abs(rank - (after[place] ?? Infinity)) <= 1);
    });
  });
});
