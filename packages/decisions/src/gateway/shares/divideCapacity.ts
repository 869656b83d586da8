import type { OrganisationId } from '@jujubecroft/types';

import { maxMinShares } from './maxMinShares.js';
import type { WorkGroup } from './WorkReport.js';

/** Use and share of an organisation at one priority of a service. */
export interface OrganisationShare {
  /** Work per second that the organisation offers to all instances. */
  readonly usePerS: number;
  /** Work per second that it is entitled to. */
  readonly sharePerS: number;
}

/** Capacity for one priority of a service, divided among organisations. */
export interface Division {
  readonly shares: ReadonlyMap<OrganisationId, OrganisationShare>;
  /** Median use of an organisation, in work per second. */
  readonly medianPerS: number;
}

/** Weight of an organisation; configurations have no field for it. */
const EQUAL_WEIGHT = 1;

/** Lower median of some values; 0 without any. */
function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
}

function addWork(
  sums: Map<OrganisationId, number>,
  { organisations }: WorkGroup,
  scale: number,
): void {
  organisations.forEach(({ organisation, workPerS }) => {
    const sum = sums.get(organisation) ?? 0;
    sums.set(organisation, sum + scale * workPerS);
  });
}

/**
 * Divides the capacity for one priority of a service among its organisations.
 *
 * The capacity is the work that was sent while nothing showed a lack of it; it
 * falls as soon as requests have to wait, whatever limits the replicas. Callers
 * pick instances at random, so the reports of some peers are a sample of all,
 * and are scaled to the number of instances.
 *
 * @param own - rates at this instance
 * @param peers - rates at the peers that reported
 * @param instances - number of live instances, this one included
 * @returns the use and share of each organisation; null if fewer than two
 *   compete
 */
export function divideCapacity(
  own: WorkGroup,
  peers: readonly WorkGroup[],
  instances: number,
): Division | null {
  const scale = (instances - 1) / Math.max(1, peers.length);
  const sums = new Map<OrganisationId, number>();
  addWork(sums, own, 1);
  peers.forEach(group => {
    addWork(sums, group, scale);
  });
  if (sums.size < 2) {
    return null;
  }
  const capacity = peers.reduce(
    (sum, { onTimePerS }) => sum + scale * onTimePerS,
    own.onTimePerS,
  );
  const uses = [...sums.values()];
  const shares = maxMinShares(
    capacity,
    uses.map(demand => ({ demand, weight: EQUAL_WEIGHT })),
  );
  return {
    medianPerS: median(uses),
    shares: new Map(
      [...sums].map(([organisation, usePerS], index) => [
        organisation,
        { usePerS, sharePerS: shares[index] ?? usePerS },
      ]),
    ),
  };
}
