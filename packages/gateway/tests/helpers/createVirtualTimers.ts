import type { Timers } from '../../src/ports/Timers.js';
import type { VirtualProcess, VirtualTime } from './VirtualTime.js';

/** @returns the timers of one process, in virtual time */
export function createVirtualTimers(
  time: VirtualTime,
  process: VirtualProcess,
): Timers {
  return {
    after: (ms, run) => time.after(ms, run, process),
    every: (ms, run) => {
      let cancel = (): void => undefined;
      const next = (): void => {
        cancel = time.after(
          ms,
          () => {
            next();
            run();
          },
          process,
        );
      };
      next();
      return () => {
        cancel();
      };
    },
    sleep: ms =>
      new Promise(resolve => {
        time.after(ms, resolve, process);
      }),
    nextTurn: () =>
      new Promise(resolve => {
        time.after(0, resolve, process, 'check');
      }),
  };
}
