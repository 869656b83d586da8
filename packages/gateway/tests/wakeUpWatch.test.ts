import { describe } from '@jujubecroft/testing';

import { createWakeUpWatch } from '../src/wakeUpWatch.js';

describe('createWakeUpWatch', ({ it }) => {
  it('tells how long the machine stood still, once', t => {
    // A frozen machine wakes and sends requests to replicas that left meanwhile:
    // its steady clock stood still too, so its old view looks fresh.
    let steadyMs = 0;
    let dayMs = 100_000;
    const stoodStillMs = createWakeUpWatch(
      () => steadyMs,
      () => dayMs,
    );
    steadyMs += 100;
    dayMs += 100;
    t.is(stoodStillMs(), 0);
    steadyMs += 100;
    dayMs += 4100;
    t.is(Math.round(stoodStillMs()), 4000);
    steadyMs += 100;
    dayMs += 100;
    t.is(stoodStillMs(), 0);
  });

  it('is not troubled by a time of day that is set back', t => {
    let dayMs = 100_000;
    const stoodStillMs = createWakeUpWatch(
      () => 0,
      () => dayMs,
    );
    dayMs -= 5000;
    t.is(stoodStillMs(), 0);
    t.is(stoodStillMs(), 0);
  });

  it('goes by the clocks of its own process alone', t => {
    // A fleet on throttled machines reads the store ten times a second and calls
    // its peers each time: a host file's seconds run on while its own do not.
    let steadyMs = 0;
    const stoodStillMs = createWakeUpWatch(
      () => steadyMs,
      () => 100_000 + steadyMs,
    );
    const stops = Array.from({ length: 50 }, () => {
      steadyMs += 10;
      return stoodStillMs();
    });
    t.deepEqual([...new Set(stops)], [0]);
  });
});
