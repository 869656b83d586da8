/**
 * Makes calls share the result of one, so that many calls cost no more than a few.
 *
 * @param work - what a call does
 * @param maxAgeMs - time for which its result is used again, in milliseconds
 * @param clock - monotonic clock, in milliseconds
 * @returns a function that returns the result of a recent call, or makes one
 */
export function shareResult<Result>(
  work: () => Promise<Result>,
  maxAgeMs: number,
  clock: () => number,
): () => Promise<Result> {
  let latest: Promise<Result> | null = null;
  let startedMs = 0;
  return () => {
    if (!latest || clock() - startedMs > maxAgeMs) {
      startedMs = clock();
      latest = work();
      latest.catch(() => {
        latest = null;
      });
    }
    return latest;
  };
}
