/**
 * Rotates a list by a random offset, so that taking items from its front is fair.
 *
 * @param items - the list
 * @param random - random numbers from [0, 1)
 * @returns all items in the same cyclic order
 */
export function rotated<T>(
  items: readonly T[],
  random: () => number,
): readonly T[] {
  const start = Math.floor(random() * items.length);
  return [...items.slice(start), ...items.slice(0, start)];
}
