import type { FailureDomainId, Replica, ServiceId } from '@jujubecroft/types';

import type { ReplicaOrder } from '../Holding.js';

/** Replicas of a service in one failure domain that are not leaving. */
export interface StandingReplicas {
  /** Those that stay until they are given back. */
  readonly lasting: number;
  /** Cheap ones that may be reclaimed. */
  readonly spot: number;
}

/** Kinds of replicas that are ordered apart from each other. */
export type ReplicaKind = keyof StandingReplicas;

/** Standing replicas by failure domain. */
export type ReplicaCensus = ReadonlyMap<FailureDomainId, StandingReplicas>;

const NONE: StandingReplicas = { lasting: 0, spot: 0 };

/** @returns how many replicas of a service stand in each of some failure domains */
export function replicaCensus(
  replicas: readonly Replica[],
  service: ServiceId,
  domains: readonly FailureDomainId[],
): ReplicaCensus {
  const standing = replicas.filter(
    replica => replica.service === service && !replica.leaving,
  );
  return new Map(
    domains.map(domain => {
      const here = standing.filter(
        ({ failureDomain }) => failureDomain === domain,
      );
      const spot = here.filter(replica => replica.spot === true).length;
      return [domain, { lasting: here.length - spot, spot }];
    }),
  );
}

/** @returns the replicas of a failure domain; none where it is not in the census */
export function standingIn(
  census: ReplicaCensus,
  domain: FailureDomainId,
): StandingReplicas {
  return census.get(domain) ?? NONE;
}

/** @returns replicas that nobody can reclaim, over all failure domains */
export function lastingInAll(census: ReplicaCensus): number {
  return [...census.values()].reduce((sum, { lasting }) => sum + lasting, 0);
}

/** @returns replicas over all failure domains */
export function standingInAll(census: ReplicaCensus): number {
  return [...census.values()].reduce(
    (sum, { lasting, spot }) => sum + lasting + spot,
    0,
  );
}

/** @returns the kind of replicas that an order is about */
export function kindOfOrder({ spot }: ReplicaOrder): ReplicaKind {
  return spot ? 'spot' : 'lasting';
}

/** @returns replicas that stand of what an order is about */
export function standingOf(order: ReplicaOrder, census: ReplicaCensus): number {
  return standingIn(census, order.failureDomain)[kindOfOrder(order)];
}

/** @returns replicas that an order adds to what stands; negative where it takes some */
export function growthOf(order: ReplicaOrder, census: ReplicaCensus): number {
  return order.count - standingOf(order, census);
}
