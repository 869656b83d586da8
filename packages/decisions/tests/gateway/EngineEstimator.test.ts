import { describe } from '@jujubecroft/testing';

import { EngineEstimator } from '../../src/gateway/EngineEstimator.js';

describe('EngineEstimator', ({ it }) => {
  // Engines read prompts at 60 tokens per millisecond under light load, but at
  // 27 in a burst because they serve streams in between. The mean of rates was
  // dominated by the many short waits: long answers with a predicted wait of
  // 600 ms started after 1,100 ms.
  it('estimates the queue rate as total tokens over total time', t => {
    const estimator = new EngineEstimator();
    Array.from({ length: 200 }).forEach((_, index) => {
      const isQueued = index % 4 === 0;
      const [tokens, tokensPerMs] = isQueued ? [40_000, 27] : [4000, 60];
      estimator.onFirstEvent(
        0,
        tokens,
        estimator.baseMs + tokens / tokensPerMs,
      );
    });
    t.true(estimator.queueTokensPerMs(0) < 34);
    t.true(estimator.tokensPerMs > 45, `${estimator.tokensPerMs}`);
  });

  it('learns the delay factor of deferred requests within bounds', t => {
    const estimator = new EngineEstimator();
    t.is(estimator.deferredDelayFactor(0), 1);
    Array.from({ length: 60 }).forEach(() => {
      estimator.onDeferredWait(0, 3000, 1000);
    });
    t.true(Math.abs(estimator.deferredDelayFactor(0) - 3) < 0.1);
    Array.from({ length: 200 }).forEach(() => {
      estimator.onDeferredWait(0, 90_000, 100);
    });
    t.true(estimator.deferredDelayFactor(0) <= 6);
  });

  // Less urgent invoices were overtaken by price checks and met 16 tokens per
  // millisecond. With a common rate, price checks that met 60 were considered
  // late, demoted and left waiting.
  it('keeps estimates of urgent requests apart from those of less urgent ones', t => {
    const estimator = new EngineEstimator();
    const before = estimator.queueTokensPerMs(0);
    Array.from({ length: 200 }).forEach(() => {
      estimator.onFirstEvent(1, 16_000, 1000);
      estimator.onDeferredWait(1, 3000, 1000);
    });
    t.is(estimator.queueTokensPerMs(0), before);
    t.is(estimator.deferredDelayFactor(0), 1);
    t.true(estimator.queueTokensPerMs(1) < 18);
  });
});
