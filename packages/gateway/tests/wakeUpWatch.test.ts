import { describe } from '@jujubecroft/testing';

import { createWakeUpWatch } from '../src/wakeUpWatch.js';

describe('createWakeUpWatch', ({ it }) => {
  it('tells how long the machine stood still, once', t => {
    // A frozen machine wakes and sends requests to replicas that left meanwhile:
    // its steady clock stood still too, so its old view looks fresh.
    let steadyMs = 0;
    let bootS = 100;
    const stoodStillMs = createWakeUpWatch(
      () => steadyMs,
      () => bootS,
    );
    steadyMs += 100;
    bootS += 0.1;
    t.is(stoodStillMs(), 0);
    steadyMs += 100;
    bootS += 4.1;
    t.is(Math.round(stoodStillMs()), 4000);
    steadyMs += 100;
    bootS += 0.1;
    t.is(stoodStillMs(), 0);
  });
});
