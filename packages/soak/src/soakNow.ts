/**
 * Returns the current time in milliseconds since the Unix epoch, with sub-millisecond
 * resolution. It is monotonic within a process, and comparable between processes
 * unless the system clock was set between their starts.
 */
export function soakNow(): number {
  return performance.timeOrigin + performance.now();
}
