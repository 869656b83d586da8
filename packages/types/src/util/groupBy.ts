/**
 * Groups items by a key, in the order in which they come.
 *
 * @param items - to group
 * @param keyOf - tells the key of an item
 * @returns a group for each key, never an empty one
 */
export function groupBy<T>(
  items: readonly T[],
  keyOf: (item: T) => string,
): ReadonlyMap<string, readonly T[]> {
  const groups = new Map<string, T[]>();
  items.forEach(item => {
    const key = keyOf(item);
    const group = groups.get(key);
    if (group) {
      group.push(item);
      return;
    }
    groups.set(key, [item]);
  });
  return groups;
}
