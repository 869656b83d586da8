import type { SpeedClass } from '../speed/ReplicaSpeed.js';
import type { GroupNeed } from './splitReplicas.js';
import { splitReplicas } from './splitReplicas.js';

/** Steps in which capacity is split; finer ones would change nothing. */
const STEPS_PER_REPLICA = 8;

/** Position of each class in the order in which middle groups take replicas. */
const SLOW_FIRST: Readonly<Record<SpeedClass, number>> = {
  slow: 0,
  usual: 1,
  fast: 2,
};

/** Speed of a replica, as far as groups are concerned. */
export interface ReplicaPace<Item> {
  readonly classOf: (item: Item) => SpeedClass;
  /** Work that a replica does in the time in which a usual one does 1. */
  readonly capacityOf: (item: Item) => number;
}

/**
 * Takes replicas from the front until they have a capacity; the last one is taken
 * if more than half of it is needed.
 */
function takeCapacity<Item>(
  items: readonly Item[],
  capacity: number,
  most: number,
  capacityOf: (item: Item) => number,
): readonly Item[] {
  let taken = 0;
  const end = items.findIndex((item, at) => {
    const isEnough =
      at >= most || (at > 0 && taken + capacityOf(item) / 2 >= capacity);
    taken += capacityOf(item);
    return isEnough;
  });
  return end === -1 ? items.slice(0, most) : items.slice(0, end);
}

/**
 * Splits replicas of different speed among groups, like {@link splitReplicas}.
 *
 * The most delicate group gets fast replicas: on a slow one, a single prompt that
 * is read while its host is slowed down as well pauses a stream for longer than it
 * tolerates. The groups after it, whose answers are short, get the slow ones; the
 * last group, with long prompts and answers, gets what is left.
 *
 * @param needs - needs of the groups in order, the most delicate first, in replicas
 *   of usual capacity
 * @param items - the replicas, in an order on which all instances agree
 * @param pace - speed of each replica
 * @param minLastShare - smallest share of the last group, from 0 to 1
 * @returns the replicas of each group; each has one as long as there are enough
 */
export function splitBySpeed<Item>(
  needs: readonly GroupNeed[],
  items: readonly Item[],
  { classOf, capacityOf }: ReplicaPace<Item>,
  minLastShare: number,
): readonly (readonly Item[])[] {
  const capacity = items.reduce((sum, item) => sum + capacityOf(item), 0);
  const meanCapacity = capacity / Math.max(1, items.length);
  const shares = splitReplicas(
    needs.map(({ replicas, minReplicas }) => ({
      replicas: STEPS_PER_REPLICA * replicas,
      minReplicas: STEPS_PER_REPLICA * meanCapacity * minReplicas,
    })),
    Math.round(STEPS_PER_REPLICA * capacity),
    minLastShare,
  );
  const slowFirst = [...items].sort(
    (a, b) => SLOW_FIRST[classOf(a)] - SLOW_FIRST[classOf(b)],
  );
  const fastFirst = [...items].sort(
    (a, b) => SLOW_FIRST[classOf(b)] - SLOW_FIRST[classOf(a)],
  );
  const taken = new Set<Item>();
  return shares.map((share, place) => {
    const groupsAfter = shares.length - 1 - place;
    const left = (place === 0 ? fastFirst : slowFirst).filter(
      item => !taken.has(item),
    );
    const segment =
      groupsAfter === 0
        ? left
        : takeCapacity(
            left,
            share / STEPS_PER_REPLICA,
            left.length - groupsAfter,
            capacityOf,
          );
    segment.forEach(item => taken.add(item));
    return segment;
  });
}
