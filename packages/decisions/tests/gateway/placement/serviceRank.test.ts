import { describe } from '@jujubecroft/testing';

import { serviceRank } from '../../../src/gateway/placement/serviceRank.js';

describe('serviceRank', ({ it }) => {
  it('puts what is late behind what can be on time, and streams that go on first', t => {
    t.true(serviceRank(1, 'resumed') < serviceRank(1, 'new'));
    t.true(serviceRank(1, 'new') < serviceRank(1, 'deferred'));
  });

  it('never lets a less urgent request go first', t => {
    t.true(serviceRank(0, 'deferred') < serviceRank(1, 'resumed'));
    t.true(serviceRank(1, 'deferred') < serviceRank(2, 'resumed'));
  });

  it('knows no rank beyond the last', t => {
    t.is(serviceRank(40, 'new'), 9);
  });
});
