import { describe } from '@jujubecroft/testing';

import { LoopDelays } from '../src/LoopDelays.js';

describe('LoopDelays', ({ it }) => {
  // An instance has a tenth of a core after a loss of power. Callers wait, and its
  // own times look short, since it starts to count when it reads a request.
  it('tells the longest delay of a timer, once', t => {
    let nowMs = 0;
    const delays = new LoopDelays(() => nowMs, 100);
    [100, 200, 950, 1050].forEach(atMs => {
      nowMs = atMs;
      delays.note();
    });
    t.is(delays.takeLongestMs(), 650);
    t.is(delays.takeLongestMs(), 0);
  });
});
