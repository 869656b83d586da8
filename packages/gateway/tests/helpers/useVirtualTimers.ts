import type { VirtualTime } from './VirtualTime.js';

interface VirtualTimer {
  readonly cancel: () => void;
  readonly unref: () => VirtualTimer;
}

/**
 * Replaces the global timers by those of a virtual clock.
 *
 * @param time - the clock
 * @returns a function that restores the timers of Node.js
 */
export function useVirtualTimers(time: VirtualTime): () => void {
  const { setTimeout, setInterval, clearTimeout, clearInterval } = globalThis;
  const createTimer = (
    run: () => void,
    ms: number,
    repeats: boolean,
  ): VirtualTimer => {
    let cancel = (): void => undefined;
    const schedule = (): void => {
      cancel = time.after(ms, () => {
        if (repeats) {
          schedule();
        }
        run();
      });
    };
    schedule();
    const timer: VirtualTimer = {
      cancel: () => {
        cancel();
      },
      unref: () => timer,
    };
    return timer;
  };
  const clear = (timer: VirtualTimer | null | undefined): void => {
    timer?.cancel();
  };
  Object.assign(globalThis, {
    setTimeout: (run: () => void, ms = 0) => createTimer(run, ms, false),
    setInterval: (run: () => void, ms = 0) => createTimer(run, ms, true),
    clearTimeout: clear,
    clearInterval: clear,
  });
  return () => {
    Object.assign(globalThis, {
      setTimeout,
      setInterval,
      clearTimeout,
      clearInterval,
    });
  };
}
