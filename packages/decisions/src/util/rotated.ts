/**
 * Begins a list at a random place, so that taking from its front is fair.
 *
 * @param items - the list
 * @param random - draws from [0, 1)
 * @returns all items, in the same order but for the place of the cut
 */
export function rotated<T>(
  items: readonly T[],
  random: () => number,
): readonly T[] {
  const start = Math.floor(random() * items.length);
  return [...items.slice(start), ...items.slice(0, start)];
}
