import type { FailureDomainId, Replica, ServiceId } from '@jujubecroft/types';

import type { ReplicaOrder } from '../Holding.js';

/** Replicas of a service in one failure domain, without those that are leaving. */
export interface ActiveReplicas {
  /** On-demand replicas, which stay until they are released. */
  readonly lasting: number;
  /** Spot replicas, which cost less and may be reclaimed by the platform. */
  readonly spot: number;
}

/** Kinds of replicas; each is ordered separately. */
export type ReplicaKind = keyof ActiveReplicas;

/** Active replicas of a service, by failure domain. */
export type ReplicaCensus = ReadonlyMap<FailureDomainId, ActiveReplicas>;

const NONE: ActiveReplicas = { lasting: 0, spot: 0 };

/**
 * Counts the active replicas of a service.
 *
 * @param replicas - replicas of all services
 * @param service - service to count
 * @param domains - failure domains to count in
 * @returns the counts of each of the given failure domains
 */
export function replicaCensus(
  replicas: readonly Replica[],
  service: ServiceId,
  domains: readonly FailureDomainId[],
): ReplicaCensus {
  const active = replicas.filter(
    replica => replica.service === service && !replica.leaving,
  );
  return new Map(
    domains.map(domain => {
      const here = active.filter(
        ({ failureDomain }) => failureDomain === domain,
      );
      const spot = here.filter(replica => replica.spot === true).length;
      return [domain, { lasting: here.length - spot, spot }];
    }),
  );
}

/** @returns active replicas of a failure domain; zero if it is not in the census */
export function activeIn(
  census: ReplicaCensus,
  domain: FailureDomainId,
): ActiveReplicas {
  return census.get(domain) ?? NONE;
}

/** @returns number of active on-demand replicas in all failure domains */
export function totalLasting(census: ReplicaCensus): number {
  return [...census.values()].reduce((sum, { lasting }) => sum + lasting, 0);
}

/** @returns number of active replicas of both kinds in all failure domains */
export function totalActive(census: ReplicaCensus): number {
  return [...census.values()].reduce(
    (sum, { lasting, spot }) => sum + lasting + spot,
    0,
  );
}

/** @returns the kind of replicas that an order asks for */
export function orderedKind({ spot }: ReplicaOrder): ReplicaKind {
  return spot ? 'spot' : 'lasting';
}

/** @returns number of active replicas with the kind and failure domain of an order */
export function activeFor(order: ReplicaOrder, census: ReplicaCensus): number {
  return activeIn(census, order.failureDomain)[orderedKind(order)];
}

/** @returns replicas that an order adds to the active ones; negative for a release */
export function addedReplicas(
  order: ReplicaOrder,
  census: ReplicaCensus,
): number {
  return order.count - activeFor(order, census);
}
