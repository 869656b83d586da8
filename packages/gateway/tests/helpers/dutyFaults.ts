import type { CarriedOut } from './VirtualDuties.js';

/**
 * Checks the calls that the platform carried out.
 *
 * @param calls - in the order in which they were carried out
 * @param leaseMs - time in which the same holder must not come back
 * @returns what is wrong; null where nothing is
 */
export function faultOf(
  calls: readonly CarriedOut[],
  leaseMs: number,
): string | null {
  const faults = calls.map(({ holder, token, atMs }, place) => {
    const before = calls.slice(0, place);
    if (
      before.some(other => other.token === token && other.holder !== holder)
    ) {
      return `two holders with token ${token}`;
    }
    const other = before.findLastIndex(call => call.holder !== holder);
    const cameBack = before
      .slice(0, Math.max(0, other))
      .some(call => call.holder === holder && atMs - call.atMs < leaseMs);
    return cameBack ? `${holder} came back within a lease` : null;
  });
  return faults.find(fault => fault !== null) ?? null;
}
