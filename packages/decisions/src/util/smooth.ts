/**
 * Exponentially weighted moving average that starts at its first observation.
 *
 * @param current - present average; 0 means that nothing was observed
 * @param observed - the new observation
 * @param share - weight of the new observation, between 0 and 1
 * @returns the new average
 */
export function smooth(
  current: number,
  observed: number,
  share: number,
): number {
  return current === 0 ? observed : current + share * (observed - current);
}
