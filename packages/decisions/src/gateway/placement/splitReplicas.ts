/** How many of a service's replicas one group asks for. */
export interface GroupNeed {
  /** Replicas that would serve the group well; may be fractional. */
  readonly replicas: number;
  /** Replicas that the group asks for at least. */
  readonly minReplicas: number;
}

/**
 * Splits replicas among groups, of which the most delicate comes first.
 *
 * The last group gets what the others leave, but never less than its minimum;
 * where that leaves too few for the others, they share them in proportion to
 * their needs.
 *
 * @param needs - needs of the groups, in order
 * @param count - number of replicas to split
 * @param minLastShare - smallest share of the last group, from 0 to 1
 * @returns number of replicas of each group; they add up to `count`
 */
export function splitReplicas(
  needs: readonly GroupNeed[],
  count: number,
  minLastShare: number,
): readonly number[] {
  if (needs.length === 0) {
    return [];
  }
  const others = needs.slice(0, -1);
  const lastMinimum = Math.max(1, Math.round(minLastShare * count));
  const available = Math.max(0, count - lastMinimum);
  const requested = others.reduce(
    (sum, { replicas, minReplicas }) => sum + Math.max(minReplicas, replicas),
    0,
  );
  const scale = requested > available ? available / requested : 1;
  const { sizes } = others.reduce<{ sizes: readonly number[]; left: number }>(
    ({ sizes: before, left }, { replicas, minReplicas }) => {
      const scaledSize = Math.round(Math.max(minReplicas, replicas) * scale);
      const size = Math.min(left, Math.max(1, scaledSize));
      return { sizes: [...before, size], left: left - size };
    },
    { sizes: [], left: available },
  );
  const used = sizes.reduce((sum, size) => sum + size, 0);
  return [...sizes, count - used];
}
