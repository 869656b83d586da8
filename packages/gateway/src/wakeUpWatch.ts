/** Difference of the clocks above which the process seems to have stood still. */
const STOOD_STILL_MS = 700;

/**
 * Watches for times in which the whole machine stood still.
 *
 * A frozen machine wakes with an old view and takes it for a fresh one, since
 * the steady clock doesn't count the time. The time of day does, so the two
 * clocks move apart. The time of day may also be set by hand; a step forward
 * looks the same and costs one needless read, nothing else depends on it. The
 * time since boot would not step, but the runtime takes it from a file of the
 * host, which runs on where a machine is simulated or throttled.
 *
 * @param clock - steady clock in milliseconds
 * @param timeOfDay - clock that counts such times, in milliseconds
 * @returns a function that tells the time stood still since its last call, or 0
 */
export function createWakeUpWatch(
  clock: () => number,
  timeOfDay: () => number = Date.now,
): () => number {
  let offsetMs = timeOfDay() - clock();
  return () => {
    const newOffsetMs = timeOfDay() - clock();
    const stoodStillMs = newOffsetMs - offsetMs;
    offsetMs = newOffsetMs;
    return stoodStillMs > STOOD_STILL_MS ? stoodStillMs : 0;
  };
}
