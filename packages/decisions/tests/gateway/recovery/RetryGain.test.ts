import { describe } from '@jujubecroft/testing';

import { RetryGain } from '../../../src/gateway/recovery/RetryGain.js';
import { route } from '../helpers/gatewayFixture.js';

const { id } = route();

describe('RetryGain', ({ it }) => {
  it('stops retries that fail as the first attempt did, but goes on probing', t => {
    // A service fails some requests by their content. Each is run twice for
    // nothing, and the budget is used up when a replica really dies.
    const gain = new RetryGain();
    Array.from({ length: 20 }).forEach(() => {
      gain.onRetried(id, false);
    });
    const allowed = Array.from({ length: 16 }).filter(() =>
      gain.isWorthIt(id),
    ).length;
    t.is(allowed, 2);
  });

  it('retries again once probes answer', t => {
    const gain = new RetryGain();
    Array.from({ length: 20 }).forEach(() => {
      gain.onRetried(id, false);
    });
    Array.from({ length: 6 }).forEach(() => {
      gain.onRetried(id, true);
    });
    t.true(gain.isWorthIt(id));
  });
});
