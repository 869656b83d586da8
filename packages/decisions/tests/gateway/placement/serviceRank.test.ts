import { describe } from '@jujubecroft/testing';

import { serviceRank } from '../../../src/gateway/placement/serviceRank.js';

describe('serviceRank', ({ it }) => {
  it('ranks resumed streams first, then new requests, then late ones', t => {
    t.true(serviceRank(1, 'resumed', 3) < serviceRank(1, 'new', 3));
    t.true(serviceRank(1, 'new', 3) < serviceRank(1, 'deferred', 3));
  });

  it('never ranks a less urgent request first', t => {
    t.true(serviceRank(0, 'deferred', 3) < serviceRank(1, 'resumed', 3));
    t.true(serviceRank(1, 'deferred', 3) < serviceRank(2, 'resumed', 3));
  });

  it('gives priorities beyond the known ones the last rank', t => {
    t.is(serviceRank(40, 'new', 3), 9);
  });

  // Guards against the two least urgent of four priorities sharing the last rank,
  // so that a replica serves them in order of arrival.
  it('keeps up to ten priorities apart', t => {
    Array.from({ length: 10 }, (_, index) => index + 1).forEach(count => {
      Array.from({ length: count - 1 }, (_, place) => place).forEach(place => {
        const here = serviceRank(place, 'deferred', count);
        const next = serviceRank(place + 1, 'resumed', count);
        t.true(here < next, `${place} of ${count}`);
      });
    });
  });

  it('keeps the order of any number of priorities', t => {
    const ranks = Array.from({ length: 25 }, (_, place) =>
      serviceRank(place, 'new', 25),
    );
    t.deepEqual(
      ranks,
      [...ranks].sort((a, b) => a - b),
    );
    t.is(ranks[0], 0);
    t.is(ranks[24], 9);
  });
});
