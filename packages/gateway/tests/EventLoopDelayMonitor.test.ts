import { describe } from '@jujubecroft/testing';

import { EventLoopDelayMonitor } from '../src/EventLoopDelayMonitor.js';

describe('EventLoopDelayMonitor', ({ it }) => {
  // Guards against overload that stays unnoticed: with a tenth of a core after
  // a power failure, callers wait, but the response times that the instance
  // measures look short, since they start when it reads a request.
  it('reports the longest delay of a timer once', t => {
    let nowMs = 0;
    const delays = new EventLoopDelayMonitor(() => nowMs, 100);
    [100, 200, 950, 1050].forEach(atMs => {
      nowMs = atMs;
      delays.note();
    });
    t.is(delays.takeLongestMs(), 650);
    t.is(delays.takeLongestMs(), 0);
  });
});
