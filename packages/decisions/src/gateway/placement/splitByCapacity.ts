import type { GroupNeed } from './splitReplicas.js';
import { splitReplicas } from './splitReplicas.js';

/** Steps in which capacity is split; finer ones would change nothing. */
const STEPS_PER_REPLICA = 8;
/**
 * Share of a group's size by which it is changed so that it ends where the next
 * class of speed begins. Instances know the demand within some 30 %, and those that
 * place the border differently send long prompts to the replicas of a delicate
 * group.
 */
const BORDER_SHARE = 0.35;

/** A replica in the order in which groups take them. */
export interface ReplicaCapacity {
  /** Work that it does in the time in which a usual one does 1. */
  readonly capacity: number;
  /** Whether it is the first of its class of speed. */
  readonly isBorder: boolean;
}

function sumOf(replicas: readonly ReplicaCapacity[]): number {
  return replicas.reduce((sum, { capacity }) => sum + capacity, 0);
}

/**
 * Finds the position after the last replica of a group whose share of the capacity
 * ends at a given sum. A replica belongs to the group if more than half of it does.
 */
function endOf(
  replicas: readonly ReplicaCapacity[],
  start: number,
  dueCapacity: number,
): number {
  let end = start;
  let before = sumOf(replicas.slice(0, start));
  while (
    end < replicas.length &&
    before + (replicas[end]?.capacity ?? 0) / 2 < dueCapacity
  ) {
    before += replicas[end]?.capacity ?? 0;
    end += 1;
  }
  return Math.max(start + 1, end);
}

/** Moves the end of a group to a border of classes if there is one nearby. */
function atBorder(
  replicas: readonly ReplicaCapacity[],
  start: number,
  end: number,
): number {
  const reach = Math.max(1, BORDER_SHARE * (end - start));
  const border = replicas.findIndex(
    ({ isBorder }, at) => isBorder && at > start && Math.abs(at - end) <= reach,
  );
  return border === -1 ? end : border;
}

/**
 * Splits replicas of different capacity among groups, like {@link splitReplicas}.
 *
 * @param needs - needs of the groups in order; `replicas` in replicas of usual
 *   capacity, `minReplicas` in any replicas
 * @param replicas - the replicas in order
 * @param minLastShare - smallest share of the last group, from 0 to 1
 * @returns number of replicas of each group; they add up to the number of
 *   replicas, and each group has one as long as there are enough
 */
export function splitByCapacity(
  needs: readonly GroupNeed[],
  replicas: readonly ReplicaCapacity[],
  minLastShare: number,
): readonly number[] {
  // A minimum is a number of replicas, which keeps requests apart. As a share of
  // the capacity, it would take many more replicas where slow ones come first.
  const capacityOfFirst = (count: number): number => {
    const whole = Math.min(replicas.length, Math.max(1, Math.ceil(count)));
    return (count * sumOf(replicas.slice(0, whole))) / whole;
  };
  const shares = splitReplicas(
    needs.map(need => ({
      replicas: STEPS_PER_REPLICA * need.replicas,
      minReplicas: STEPS_PER_REPLICA * capacityOfFirst(need.minReplicas),
    })),
    Math.round(STEPS_PER_REPLICA * sumOf(replicas)),
    minLastShare,
  );
  let start = 0;
  return shares.map((share, place) => {
    const groupsAfter = shares.length - 1 - place;
    if (groupsAfter === 0) {
      return replicas.length - start;
    }
    const before = sumOf(replicas.slice(0, start));
    const end = endOf(replicas, start, before + share / STEPS_PER_REPLICA);
    const size =
      Math.min(replicas.length - groupsAfter, atBorder(replicas, start, end)) -
      start;
    start += size;
    return size;
  });
}
