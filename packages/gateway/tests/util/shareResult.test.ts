import { describe } from '@jujubecroft/testing';

import { shareResult } from '../../src/util/shareResult.js';

const MAX_AGE_MS = 100;

describe('shareResult', ({ it }) => {
  // Guards against clients that occupy the event loop with work that is done for each of them.
  it('does the work once for calls at nearly the same time', async t => {
    let nowMs = 0;
    let count = 0;
    const call = shareResult(
      () => Promise.resolve((count += 1)),
      MAX_AGE_MS,
      () => nowMs,
    );
    const results = await Promise.all(Array.from({ length: 50 }, call));
    nowMs = MAX_AGE_MS;
    results.push(await call());
    t.deepEqual(new Set(results), new Set([1]));
    nowMs = MAX_AGE_MS + 1;
    t.is(await call(), 2);
  });

  it('does it again after a failure', async t => {
    let count = 0;
    const call = shareResult(
      () => {
        count += 1;
        return count === 1
          ? Promise.reject(new Error('first'))
          : Promise.resolve(count);
      },
      MAX_AGE_MS,
      () => 0,
    );
    await t.throwsAsync(call, { message: 'first' });
    t.is(await call(), 2);
  });
});
