import { uptime } from 'node:os';

const MS_PER_SECOND = 1000;
/** Difference of the clocks above which the process stood still. */
const STOOD_STILL_MS = 700;

/**
 * Watches for times in which the whole machine stood still.
 *
 * A frozen machine wakes with an old view and takes it for a fresh one, since
 * the steady clock doesn't count the time. The time since boot does, so the two
 * clocks move apart.
 *
 * @param clock - steady clock in milliseconds
 * @param bootClock - clock that counts such times, in seconds
 * @returns a function that tells the time stood still since its last call, or 0
 */
export function createWakeUpWatch(
  clock: () => number,
  bootClock: () => number = uptime,
): () => number {
  let offsetMs = bootClock() * MS_PER_SECOND - clock();
  return () => {
    const newOffsetMs = bootClock() * MS_PER_SECOND - clock();
    const stoodStillMs = newOffsetMs - offsetMs;
    offsetMs = newOffsetMs;
    return stoodStillMs > STOOD_STILL_MS ? stoodStillMs : 0;
  };
}
