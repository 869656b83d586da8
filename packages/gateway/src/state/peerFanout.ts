/** Peers up to which each instance calls several in a round. */
const SMALL_FLEET = 12;
const SMALL_FANOUT = 3;
const LARGE_FANOUT = 1;

/**
 * Peers that an instance exchanges states with in one round.
 *
 * Calls are the larger part of what control costs: thirty idle instances that
 * called three others in a round spent 0.106 of a core each, with one 0.030. Small
 * fleets can afford that everybody hears of everybody within a second. Large ones
 * stay at four calls a second, however many they are; urgent news is passed on at
 * once and does not wait for a round.
 *
 * @param peers - that are known
 * @returns peers to call
 */
export function peerFanout(peers: number): number {
  return peers <= SMALL_FLEET ? SMALL_FANOUT : LARGE_FANOUT;
}
