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

/**
 * Takes items from the front of a list rotated by a random offset, without copying the
 * whole list.
 *
 * @param items - the list
 * @param random - random numbers from [0, 1)
 * @param count - maximum number of items
 * @returns the items that {@link rotated} would return first
 */
export function firstRotated<T>(
  items: readonly T[],
  random: () => number,
  count: number,
): readonly T[] {
  const start = Math.floor(random() * items.length);
  const end = start + Math.min(count, items.length);
  return [
    ...items.slice(start, end),
    ...items.slice(0, Math.max(0, end - items.length)),
  ];
}
