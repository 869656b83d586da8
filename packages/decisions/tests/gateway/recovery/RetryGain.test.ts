import { describe } from '@jujubecroft/testing';

import { RetryGain } from '../../../src/gateway/recovery/RetryGain.js';
import { route } from '../helpers/gatewayFixture.js';

const { id } = route();

describe('RetryGain', ({ it }) => {
  it('stops retries on a route where they fail, but goes on probing', t => {
    // Guards against useless retries: where a service fails requests because of
    // their content, each would run twice, and the retry budget would be used up
    // when a replica really crashes.
    const gain = new RetryGain();
    Array.from({ length: 20 }).forEach(() => {
      gain.onRetried(id, false);
    });
    const allowed = Array.from({ length: 16 }).filter(() =>
      gain.shouldRetry(id),
    ).length;
    t.is(allowed, 2);
  });

  it('allows retries again once probes are answered', t => {
    const gain = new RetryGain();
    Array.from({ length: 20 }).forEach(() => {
      gain.onRetried(id, false);
    });
    Array.from({ length: 6 }).forEach(() => {
      gain.onRetried(id, true);
    });
    t.true(gain.shouldRetry(id));
  });
});
