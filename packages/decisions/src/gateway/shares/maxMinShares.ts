/** Demand of one party for a divided capacity, in any unit. */
export interface WeightedDemand {
  readonly demand: number;
  /** Weight of the party; a weight of 2 entitles it to twice as much. */
  readonly weight: number;
}

/**
 * Divides a capacity by weighted max-min fairness.
 *
 * No party gets more than it demands, and what it leaves is divided among the
 * others: a share can only grow at the cost of a party whose share per weight
 * is as small or smaller.
 *
 * @param capacity - the capacity to divide, in the unit of the demands
 * @param demands - demands of the parties
 * @returns the shares, in the order of the demands
 */
export function maxMinShares(
  capacity: number,
  demands: readonly WeightedDemand[],
): readonly number[] {
  const shares = demands.map(() => 0);
  let left = Math.max(0, capacity);
  let weightLeft = demands.reduce((sum, { weight }) => sum + weight, 0);
  demands
    .map((party, index) => ({ ...party, index }))
    .sort((a, b) => a.demand / a.weight - b.demand / b.weight)
    .forEach(({ demand, weight, index }) => {
      const share = Math.min(demand, (left * weight) / weightLeft);
      shares[index] = share;
      left = Math.max(0, left - share);
      weightLeft -= weight;
    });
  return shares;
}
