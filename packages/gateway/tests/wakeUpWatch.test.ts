import { describe } from '@jujubecroft/testing';

import { createSuspensionDetector } from '../src/wakeUpWatch.js';

describe('createSuspensionDetector', ({ it }) => {
  it('reports the duration of a suspension once', t => {
    // Guards against requests to replicas that have left: the monotonic clock
    // of a frozen machine stops too, so its outdated view looks current after
    // it resumes.
    let steadyMs = 0;
    let dayMs = 100_000;
    const takeSuspendedMs = createSuspensionDetector(
      () => steadyMs,
      () => dayMs,
    );
    steadyMs += 100;
    dayMs += 100;
    t.is(takeSuspendedMs(), 0);
    steadyMs += 100;
    dayMs += 4100;
    t.is(Math.round(takeSuspendedMs()), 4000);
    steadyMs += 100;
    dayMs += 100;
    t.is(takeSuspendedMs(), 0);
  });

  it('ignores a time of day that is set back', t => {
    let dayMs = 100_000;
    const takeSuspendedMs = createSuspensionDetector(
      () => 0,
      () => dayMs,
    );
    dayMs -= 5000;
    t.is(takeSuspendedMs(), 0);
    t.is(takeSuspendedMs(), 0);
  });

  it('reports no suspension while both clocks of the process advance equally', t => {
    // Guards against needless reads of the store and calls to peers, ten times
    // a second: on throttled machines, a clock read from a file of the host
    // keeps counting while the clocks of the process do not.
    let steadyMs = 0;
    const takeSuspendedMs = createSuspensionDetector(
      () => steadyMs,
      () => 100_000 + steadyMs,
    );
    const suspensions = Array.from({ length: 50 }, () => {
      steadyMs += 10;
      return takeSuspendedMs();
    });
    t.deepEqual([...new Set(suspensions)], [0]);
  });
});
