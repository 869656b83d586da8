/** Part of a limit that is split evenly, so that a new caller finds room everywhere. */
const EVEN_PART = 0.2;

/**
 * Share of one organisation's limit that this instance may use.
 *
 * @param ownDemand - requests that the organisation offered here lately
 * @param peerDemands - the same figure from each live peer, 0 where unknown
 * @returns a share between 0 and 1; the shares of all instances add up to 1
 *   when all hold the same figures
 */
export function demandShare(
  ownDemand: number,
  peerDemands: readonly number[],
): number {
  const instances = peerDemands.length + 1;
  const total = peerDemands.reduce((sum, demand) => sum + demand, ownDemand);
  if (total === 0) {
    return 1 / instances;
  }
  return EVEN_PART / instances + ((1 - EVEN_PART) * ownDemand) / total;
}
