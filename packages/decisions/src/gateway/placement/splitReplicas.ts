/** How much of a service's replicas one group asks for. */
export interface GroupNeed {
  /** Replicas that would serve the group well; a fraction is fine. */
  readonly replicas: number;
  /** Replicas that it gets at least, if there is room. */
  readonly least: number;
}

/**
 * Splits replicas among groups, the most delicate group first.
 *
 * The last group gets what the others leave, but never less than its minimum;
 * where that is too little for the others, they share it by their need.
 *
 * @param needs - of the groups, in order
 * @param count - replicas to split
 * @param minLastShare - share that the last group keeps, 0 to 1
 * @returns replicas of each group; the sum is the count
 */
export function splitReplicas(
  needs: readonly GroupNeed[],
  count: number,
  minLastShare: number,
): readonly number[] {
  if (needs.length === 0) {
    return [];
  }
  const firsts = needs.slice(0, -1);
  const kept = Math.max(1, Math.round(minLastShare * count));
  const room = Math.max(0, count - kept);
  const wanted = firsts.reduce(
    (sum, { replicas, least }) => sum + Math.max(least, replicas),
    0,
  );
  const scale = wanted > room ? room / wanted : 1;
  const { sizes } = firsts.reduce<{ sizes: readonly number[]; left: number }>(
    ({ sizes: before, left }, { replicas, least }) => {
      const fair = Math.round(Math.max(least, replicas) * scale);
      const size = Math.min(left, Math.max(1, fair));
      return { sizes: [...before, size], left: left - size };
    },
    { sizes: [], left: room },
  );
  const used = sizes.reduce((sum, size) => sum + size, 0);
  return [...sizes, count - used];
}
