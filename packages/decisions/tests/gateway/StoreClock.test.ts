import fc from 'fast-check';
import { describe } from '@jujubecroft/testing';

import { StoreClock } from '../../src/index.js';
import { manualClock } from './helpers/gatewayFixture.js';

/** Time on the store's clock when the local clock is at zero. */
const OFFSET_MS = 70_000;

describe('StoreClock', ({ it }) => {
  it('returns an infinite age before the first reading', t => {
    const storeClock = new StoreClock(manualClock().now);
    t.is(storeClock.ageOf(OFFSET_MS), Infinity);
    t.false(storeClock.isAhead(OFFSET_MS));
  });

  // An answer that waited 600 ms in an instance without processor time was
  // considered new when it was read. No age may come out too short however long
  // requests and answers take, and the fastest request limits by how much it is
  // too long.
  it('never underestimates an age', t => {
    const exchange = fc.record({
      pauseMs: fc.integer({ min: 0, max: 2000 }),
      requestMs: fc.integer({ min: 0, max: 800 }),
      responseMs: fc.integer({ min: 0, max: 800 }),
    });
    fc.assert(
      fc.property(fc.array(exchange, { minLength: 1 }), exchanges => {
        const clock = manualClock();
        const storeClock = new StoreClock(clock.now);
        exchanges.forEach(({ pauseMs, requestMs, responseMs }) => {
          clock.advance(pauseMs);
          const askedMs = clock.now();
          clock.advance(requestMs);
          const storeMs = OFFSET_MS + clock.now();
          clock.advance(responseMs);
          storeClock.read(storeMs, askedMs);
        });
        const trueMs = OFFSET_MS + clock.now();
        const fastestMs = Math.min(
          ...exchanges.map(({ requestMs }) => requestMs),
        );
        const driftMs = 0.0005 * clock.now();
        const excessMs = storeClock.latestMs - trueMs;
        t.true(excessMs >= 0 && excessMs <= fastestMs + driftMs + 1e-6);
      }),
      { seed: 7 },
    );
  });

  // The local clock may not advance while the machine is suspended. The bound on
  // the store's clock is then too low, and old views would seem recent.
  it('discards earlier readings when the store clock is ahead of its bound', t => {
    const clock = manualClock();
    const storeClock = new StoreClock(clock.now);
    storeClock.read(OFFSET_MS, clock.now());
    clock.advance(100);
    const suspendedMs = 5000;
    const nowMs = OFFSET_MS + 100 + suspendedMs;
    t.true(storeClock.isAhead(nowMs));
    storeClock.read(nowMs, clock.now() - 10);
    t.true(storeClock.ageOf(OFFSET_MS) >= 100 + suspendedMs);
    storeClock.forget();
    t.is(storeClock.ageOf(nowMs), Infinity);
  });
});
