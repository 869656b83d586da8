/**
 * Updates an exponentially weighted moving average that starts at its first sample.
 *
 * @param current - current average; 0 if there are no samples yet
 * @param observed - the new sample
 * @param weight - weight of the new sample, between 0 and 1
 * @returns the new average
 */
export function smooth(
  current: number,
  observed: number,
  weight: number,
): number {
  return current === 0 ? observed : current + weight * (observed - current);
}
