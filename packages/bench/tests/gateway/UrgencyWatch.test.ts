import { describe } from '@jujubecroft/testing';
import { assertDefined } from '@jujubecroft/types';

import { BURST_LOAD } from '../../src/gateway/burstLoad.js';
import { UrgencyWatch } from '../../src/gateway/UrgencyWatch.js';

const kindOf = (name: string) =>
  assertDefined(
    BURST_LOAD.kinds.find(({ route }) => route.id === name),
    'the load has a kind of this name',
  );
const LONG = kindOf('long');
const SHORT = kindOf('short');

const arrivalOf = (kind: typeof LONG, priority: number, askedMs: number) => ({
  kind,
  priority,
  askedMs,
  promptTokens: 1000,
});

/** Inversions after 100 short requests in a second, of which the first `unserved` go unserved. */
function inversionsOf(unserved: number, longStartedMs: number | null) {
  const detector = new UrgencyWatch(BURST_LOAD.kinds);
  const long = detector.onRequest(arrivalOf(LONG, 2, 0));
  long.firstEventMs = longStartedMs;
  long.isServed = longStartedMs !== null;
  Array.from({ length: 100 }).forEach((_, index) => {
    detector.onRequest(arrivalOf(SHORT, 1, 10 * index)).isServed =
      index >= unserved;
  });
  return detector.findInversions();
}

describe('detection of priority inversions', ({ it }) => {
  it('reports urgent requests that go unserved while larger, less urgent ones start', t => {
    const [first] = inversionsOf(12, 500);
    t.deepEqual(first, {
      kind: 'short',
      priority: 1,
      fromMs: 0,
      requests: 100,
      unserved: 12,
      lessUrgentStarted: 1,
    });
  });

  it('allows a few unserved requests, and any number while nothing less urgent starts', t => {
    t.deepEqual(inversionsOf(8, 500), []);
    t.deepEqual(inversionsOf(12, null), []);
  });

  it('does not report less urgent requests that go unserved', t => {
    const detector = new UrgencyWatch(BURST_LOAD.kinds);
    Array.from({ length: 50 }).forEach((_, index) => {
      detector.onRequest(arrivalOf(LONG, 2, 10 * index));
      const short = detector.onRequest(arrivalOf(SHORT, 1, 10 * index));
      short.isServed = true;
      short.firstEventMs = 10 * index;
    });
    t.deepEqual(detector.findInversions(), []);
  });
});
