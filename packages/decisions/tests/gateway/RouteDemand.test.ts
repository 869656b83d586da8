import type { RouteId } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';
import { describe } from '@jujubecroft/testing';

import { DemandBook } from '../../src/gateway/RouteDemand.js';

const SHORT = brand<RouteId>('short');

describe('DemandBook', ({ it }) => {
  // A burst of short requests is turned away, as their group of replicas is small.
  // If that left no trace the group would stay small, and less urgent requests
  // beside it would go on being served.
  it('counts what was turned away as demand, not as running', t => {
    const nowMs = 0;
    const book = new DemandBook(() => nowMs);
    book.onRequest(SHORT, 3000);
    const before = book.total([SHORT]);
    book.onRefused(SHORT, 3000);
    const after = book.total([SHORT]);
    t.is(after.tokensPerS, 2 * before.tokensPerS);
    t.is(after.inFlight, 1);
  });
});
