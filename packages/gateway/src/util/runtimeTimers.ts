import { setTimeout as sleep } from 'node:timers/promises';

import type { Timers } from '../ports/Timers.js';
import { nextTurn } from './nextTurn.js';

/** Timers of the Node.js runtime. */
export const RUNTIME_TIMERS: Timers = {
  after: (ms, run) => {
    const timer = setTimeout(run, ms);
    return () => {
      clearTimeout(timer);
    };
  },
  every: (ms, run) => {
    const timer = setInterval(run, ms);
    return () => {
      clearInterval(timer);
    };
  },
  sleep: async ms => {
    await sleep(ms);
  },
  nextTurn,
};
