/**
 * Part of a limit that is split evenly, so that every instance can admit some
 * requests of an organisation that has not called it before.
 */
const EVEN_SHARE = 0.2;

/**
 * Computes the share of one organisation's limit that this instance may use.
 *
 * @param ownDemand - recent demand of the organisation at this instance
 * @param peerDemands - the same figure for each live peer; 0 if unknown
 * @returns a share between 0 and 1; the shares of all instances add up to 1 if
 *   all use the same figures
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
  return EVEN_SHARE / instances + ((1 - EVEN_SHARE) * ownDemand) / total;
}
