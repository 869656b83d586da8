/** Where an instance and a replica stand among all of them, in orders that all agree on. */
export interface LimitPlace {
  /** Place of the instance, 0 for the first. */
  readonly rank: number;
  readonly instances: number;
  /** Place of the replica among those of its service. */
  readonly index: number;
  readonly replicas: number;
}

/**
 * Instances that share a limit, which is about one for each request a second.
 *
 * A power of two, so that a limit that changes a little keeps its senders.
 */
function sendersOf(perS: number, instances: number): number {
  const senders = 2 ** Math.floor(Math.log2(Math.max(1, perS)));
  return Math.min(senders, instances);
}

/** Whether an instance is one of so many evenly spaced senders to a replica. */
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
 * Part of a replica's limit that one instance may use.
 *
 * Shared by all instances, a small limit would be a request in a minute for each, and
 * what many have saved up while idle would come at once. So a few instances share it,
 * and the replicas of a service have theirs spread evenly over the fleet. A join or
 * leave moves each of them by one place at most.
 *
 * @param perS - the limit, requests a second
 * @param place - of the instance and the replica
 * @returns requests a second; 0 where other instances share the limit
 */
export function limitShare(perS: number, place: LimitPlace): number {
  const senders = sendersOf(perS, place.instances);
  return isSender(place, senders) ? perS / senders : 0;
}
