import { describe } from '@jujubecroft/testing';

import { EngineEstimator } from '../../src/gateway/EngineEstimator.js';

describe('EngineEstimator', ({ it }) => {
  // In light load prompts are read at 60 tokens a millisecond, in a burst at 27,
  // since engines serve streams between. Drafts that were promised 600 ms came
  // after 1,100: the mean of rates believed the many short waits.
  it('predicts the queue of a burst by all tokens over all time', t => {
    const estimator = new EngineEstimator();
    Array.from({ length: 200 }).forEach((_, index) => {
      const isQueued = index % 4 === 0;
      const [tokens, perMs] = isQueued ? [40_000, 27] : [4000, 60];
      estimator.onFirstEvent(0, tokens, estimator.baseMs + tokens / perMs);
    });
    t.true(estimator.queueTokensPerMs(0) < 34);
    t.true(estimator.tokensPerMs > 45, `${estimator.tokensPerMs}`);
  });

  it('learns how often deferred requests are overtaken, within bounds', t => {
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

  // Invoices were overtaken by price checks and met 16 tokens a millisecond; price
  // checks that met 60 were taken for late, put behind the others and left there.
  it('keeps what less urgent requests meet from urgent ones', t => {
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
