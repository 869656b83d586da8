import { describe } from '@jujubecroft/testing';
import { createRandom } from '@jujubecroft/types';

import { CallerRetryDetector } from '../../src/gateway/CallerRetryDetector.js';

describe('CallerRetryDetector', ({ it }) => {
  it('detects retries of callers that all have the same time limit', t => {
    const detector = new CallerRetryDetector();
    Array.from({ length: 50 }).forEach(() => {
      t.false(detector.observe(4000));
    });
    t.true(detector.observe(3600));
  });

  // Callers of long answers wait for 5.1 to 6 s. A detector that assumed equal
  // limits took four of five first attempts for retries; they were admitted
  // whatever the queue, and all of them were late.
  it('takes few first attempts for retries if time limits differ', t => {
    const random = createRandom(5);
    const detector = new CallerRetryDetector();
    const seen = Array.from({ length: 400 }, () =>
      detector.observe(6000 * (0.85 + 0.15 * random())),
    );
    t.true(seen.slice(50).filter(Boolean).length < 20);
    t.true(detector.observe(4400));
  });
});
