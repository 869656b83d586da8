/**
 * Groups items by a key. Groups keep the order of the items, and the map lists
 * its keys in the order of their first item.
 *
 * @param items - the items to group
 * @param keyOf - returns the key of an item
 * @returns the groups by key; no group is empty
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
