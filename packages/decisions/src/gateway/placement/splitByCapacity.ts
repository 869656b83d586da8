import type { GroupNeed } from './splitReplicas.js';
import { splitReplicas } from './splitReplicas.js';

/** Steps in which capacity is split; finer ones would change nothing. */
const STEPS_PER_REPLICA = 8;

/**
 * Splits replicas of different capacity among groups, like {@link splitReplicas}.
 *
 * @param needs - needs of the groups in order, as numbers of replicas of usual
 *   capacity
 * @param capacities - capacity of each replica in order, 1 for a usual one
 * @param minLastShare - smallest share of the last group, from 0 to 1
 * @returns number of replicas of each group; they add up to the number of
 *   replicas, and each group has one as long as there are enough
 */
export function splitByCapacity(
  needs: readonly GroupNeed[],
  capacities: readonly number[],
  minLastShare: number,
): readonly number[] {
  const count = capacities.length;
  const total = capacities.reduce((sum, capacity) => sum + capacity, 0);
  // Shares of the total capacity replace shares of the number of replicas.
  const scale = count > 0 ? total / count : 1;
  const shares = splitReplicas(
    needs.map(({ replicas, minReplicas }) => ({
      replicas: STEPS_PER_REPLICA * replicas,
      minReplicas: STEPS_PER_REPLICA * scale * minReplicas,
    })),
    Math.round(STEPS_PER_REPLICA * total),
    minLastShare,
  );
  let at = 0;
  let capacityBefore = 0;
  let capacityDue = 0;
  return shares.map((share, place) => {
    const groupsAfter = shares.length - 1 - place;
    if (groupsAfter === 0) {
      return count - at;
    }
    capacityDue += share / STEPS_PER_REPLICA;
    const start = at;
    const mayTake = (): boolean => at < count - groupsAfter;
    // A replica is taken if more than half of it belongs to the group.
    while (
      mayTake() &&
      (at === start || capacityBefore + (capacities[at] ?? 0) / 2 < capacityDue)
    ) {
      capacityBefore += capacities[at] ?? 0;
      at += 1;
    }
    return at - start;
  });
}
