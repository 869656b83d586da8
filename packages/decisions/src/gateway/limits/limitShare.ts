/**
 * Positions of an instance and a replica, in orders on which all instances
 * agree.
 */
export interface LimitPlace {
  /** Position of the instance; the first is 0. */
  readonly rank: number;
  readonly instances: number;
  /** Position of the replica among those of its service. */
  readonly index: number;
  readonly replicas: number;
}

/**
 * Number of instances that share a limit, about one for each request a second.
 *
 * It is a power of two, so that a small change of the limit keeps the same
 * senders.
 */
function senderCount(perS: number, instances: number): number {
  const senders = 2 ** Math.floor(Math.log2(Math.max(1, perS)));
  return Math.min(senders, instances);
}

/** Whether an instance is among the evenly spaced senders to a replica. */
function isSender(
  { rank, instances, index, replicas }: LimitPlace,
  senders: number,
): boolean {
  return Array.from(
    { length: senders },
    (_, place) => (index / replicas + place) / senders,
  ).some(position => Math.floor(position * instances) === rank);
}

/**
 * Computes the part of a replica's limit that one instance may use.
 *
 * Divided among all instances, a small limit would allow each of them about one
 * request a minute, and the tokens that many instances saved while idle would
 * be spent at once. So a few instances share each limit, and the senders to a
 * service's replicas are spread evenly over the fleet. When an instance joins
 * or leaves, each sender moves by at most one position.
 *
 * @param perS - the limit, in requests a second
 * @param place - positions of the instance and the replica
 * @returns requests a second; 0 if other instances share the limit
 */
export function limitShare(perS: number, place: LimitPlace): number {
  const senders = senderCount(perS, place.instances);
  return isSender(place, senders) ? perS / senders : 0;
}
