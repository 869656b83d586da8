/** Number of peers up to which `SMALL_FANOUT` applies. */
const SMALL_FLEET_PEERS = 12;
const SMALL_FANOUT = 3;
const LARGE_FANOUT = 1;

/**
 * Determines with how many peers an instance exchanges state in one round.
 *
 * Exchanges are the main cost of the control traffic: thirty idle instances that
 * contacted three peers a round used 0.106 of a core each, with one peer 0.030. In a
 * small fleet, several peers a round are affordable, and every instance hears of every
 * other within a second. A large fleet stays at four exchanges a second for each
 * instance, whatever its size; urgent changes are announced immediately, without
 * waiting for a round.
 *
 * @param peers - number of known peers
 * @returns number of peers to contact
 */
export function peerFanout(peers: number): number {
  return peers <= SMALL_FLEET_PEERS ? SMALL_FANOUT : LARGE_FANOUT;
}
