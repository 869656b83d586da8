import { describe } from '@jujubecroft/testing';
import { assertDefined } from '@jujubecroft/types';

import { BURST_LOAD } from '../../src/gateway/burstLoad.js';
import { servedBySize } from '../../src/gateway/servedBySize.js';
import type { ReplayedRequest } from '../../src/gateway/UrgencyWatch.js';

const LONG = assertDefined(
  BURST_LOAD.kinds.find(({ route }) => route.id === 'long'),
  'the load has a kind of this name',
);

const requestOf = (
  promptTokens: number,
  isServed: boolean,
): ReplayedRequest => ({
  kind: LONG,
  priority: 2,
  askedMs: 0,
  promptTokens,
  firstEventMs: null,
  isServed,
  isExcluded: false,
});

describe('servedBySize', ({ it }) => {
  it('computes the served share of all, of the largest tenth and of the next fifth', t => {
    const requests = Array.from({ length: 20 }, (_, index) =>
      // The four largest and one of the small ones are not served.
      requestOf(100 * index, index < 16 && index !== 3),
    );
    t.deepEqual(servedBySize('long', requests), {
      kind: 'long',
      all: 0.75,
      largestTenth: 0,
      nextFifth: 0.5,
    });
  });

  it('leaves out requests of stopped instances and of other kinds', t => {
    const excluded = { ...requestOf(900, false), isExcluded: true };
    t.is(servedBySize('long', [excluded, requestOf(100, true)]).all, 1);
    t.is(servedBySize('short', [requestOf(100, true)]).all, 0);
  });
});
