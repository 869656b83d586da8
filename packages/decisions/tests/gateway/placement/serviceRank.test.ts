import { describe } from '@jujubecroft/testing';

import { serviceRank } from '../../../src/gateway/placement/serviceRank.js';

describe('serviceRank', ({ it }) => {
  it('puts what is late behind what can be on time, and streams that go on first', t => {
    t.true(serviceRank(1, 'resumed', 3) < serviceRank(1, 'new', 3));
    t.true(serviceRank(1, 'new', 3) < serviceRank(1, 'deferred', 3));
  });

  it('never lets a less urgent request go first', t => {
    t.true(serviceRank(0, 'deferred', 3) < serviceRank(1, 'resumed', 3));
    t.true(serviceRank(1, 'deferred', 3) < serviceRank(2, 'resumed', 3));
  });

  it('knows no rank beyond the last', t => {
    t.is(serviceRank(40, 'new', 3), 9);
  });

  // With four priorities the two least urgent shared the last rank, so that a
  // replica served them in the order of arrival.
  it('keeps up to ten priorities apart', t => {
    Array.from({ length: 10 }, (_, index) => index + 1).forEach(count => {
      Array.from({ length: count - 1 }, (_, place) => place).forEach(place => {
        const here = serviceRank(place, 'deferred', count);
        const next = serviceRank(place + 1, 'resumed', count);
        t.true(here < next, `${place} of ${count}`);
      });
    });
  });

  it('never turns the order round, however many priorities there are', t => {
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
