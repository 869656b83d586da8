import { describe } from '@jujubecroft/testing';
import { createRandom } from '@jujubecroft/types';

import { CallerRetryDetector } from '../../src/gateway/CallerRetryDetector.js';

describe('FirstTries', ({ it }) => {
  it('knows second tries of callers who all wait equally long', t => {
    const tries = new CallerRetryDetector();
    Array.from({ length: 50 }).forEach(() => {
      t.false(tries.observe(4000));
    });
    t.true(tries.observe(3600));
  });

  // Callers wait for 5.1 to 6 s. Taken for second tries, four of five drafts were
  // let in whatever the queue, and all of them were late.
  it('takes few first tries for second ones where callers differ', t => {
    const random = createRandom(5);
    const tries = new CallerRetryDetector();
    const seen = Array.from({ length: 400 }, () =>
      tries.observe(6000 * (0.85 + 0.15 * random())),
    );
    t.true(seen.slice(50).filter(Boolean).length < 20);
    t.true(tries.observe(4400));
  });
});
