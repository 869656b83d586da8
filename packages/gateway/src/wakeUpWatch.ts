/**
 * Growth of the offset between the clocks above which the process counts as
 * suspended.
 */
const SUSPENSION_THRESHOLD_MS = 700;

/**
 * Detects periods in which the whole machine was suspended.
 *
 * A machine that was frozen resumes with an outdated view of the replicas and
 * considers it current, since the monotonic clock does not count the
 * suspension. The time of day does, so the offset between the clocks grows.
 * Setting the time of day forward has the same effect, but only causes one
 * needless read. The time since boot cannot be set, but it is not used: Node.js
 * reads it from a file of the host, which keeps counting where a machine is
 * simulated or throttled.
 *
 * @param clock - monotonic clock, in milliseconds
 * @param timeOfDay - clock that also counts suspensions, in milliseconds
 * @returns a function that returns the time suspended since its previous call,
 *   in milliseconds, or 0
 */
export function createSuspensionDetector(
  clock: () => number,
  timeOfDay: () => number = Date.now,
): () => number {
  let offsetMs = timeOfDay() - clock();
  return () => {
    const newOffsetMs = timeOfDay() - clock();
    const suspendedMs = newOffsetMs - offsetMs;
    offsetMs = newOffsetMs;
    return suspendedMs > SUSPENSION_THRESHOLD_MS ? suspendedMs : 0;
  };
}
