import type { FailureDomainId, ReplicaScaling } from '@jujubecroft/types';

import type { ActiveReplicas, ReplicaCensus } from './replicaCensus.js';
import { activeIn, totalActive } from './replicaCensus.js';

/** Ratio of on-demand (`lasting`) and spot replicas. */
export interface MixOptions {
  /** Share of the need that is covered by on-demand replicas. */
  readonly lastingShare: number;
  /**
   * Factor by which the spot part of the need is overprovisioned, in addition to the
   * reserve for the loss of a failure domain.
   */
  readonly spotHeadroom: number;
}

export const DEFAULT_MIX: MixOptions = { lastingShare: 0.2, spotHeadroom: 1.6 };

/** Inputs of a replica plan. */
export interface PlanInputs {
  readonly scaling: ReplicaScaling;
  readonly census: ReplicaCensus;
  /** Number of replicas that the load needs. */
  readonly need: number;
  /** Whether a failure domain currently has no spot replicas to offer. */
  readonly isSpotUnavailable: (domain: FailureDomainId) => boolean;
}

/** Desired number of replicas, by failure domain. */
export type ReplicaPlan = ReadonlyMap<FailureDomainId, ActiveReplicas>;

/**
 * Distributes replicas over failure domains in proportion to their weights.
 *
 * @param total - number of replicas; rounded up
 * @param domains - failure domains to distribute them over
 * @param weightOf - relative weight of a failure domain
 * @param mostIn - maximum number of replicas in a failure domain
 * @returns whole numbers by failure domain; replicas that exceed all maxima are dropped
 */
function allocate(
  total: number,
  domains: readonly FailureDomainId[],
  weightOf: (domain: FailureDomainId) => number,
  mostIn: (domain: FailureDomainId) => number,
): ReadonlyMap<FailureDomainId, number> {
  const allocated = new Map(domains.map(domain => [domain, 0]));
  const roomIn = (domain: FailureDomainId): number =>
    mostIn(domain) - (allocated.get(domain) ?? 0);
  Array.from({ length: Math.max(0, Math.ceil(total)) }).forEach(() => {
    const [next] = domains
      .filter(domain => roomIn(domain) >= 1)
      .map(domain => ({
        domain,
        filled: ((allocated.get(domain) ?? 0) + 1) / weightOf(domain),
      }))
      .sort((a, b) => a.filled - b.filled);
    if (next) {
      allocated.set(next.domain, (allocated.get(next.domain) ?? 0) + 1);
    }
  });
  return allocated;
}

/**
 * Plans how many replicas of each kind each failure domain should have.
 *
 * A share of on-demand (`lasting`) replicas is kept for the most urgent requests. The
 * rest are spot replicas. All spot replicas of a failure domain may be reclaimed at
 * once, so there are enough of them for the remaining domains to cover the need. Where
 * spot replicas are unavailable and too few are active, on-demand replicas replace them.
 *
 * @param inputs - need, prices, bounds and active replicas
 * @param mix - ratio of the two kinds
 * @returns the plan; on-demand replicas only if the service has no spot price
 */
export function planReplicas(
  { scaling, need, census, isSpotUnavailable }: PlanInputs,
  mix: MixOptions = DEFAULT_MIX,
): ReplicaPlan {
  const { domainPrices, minReplicas, maxReplicas, spotPrice } = scaling;
  const domains = Object.keys(domainPrices) as FailureDomainId[];
  const weightOf = (domain: FailureDomainId): number =>
    1 / Math.max(0.01, domainPrices[domain] ?? 1);
  const lastingNeed = spotPrice === null ? need : mix.lastingShare * need;
  const defaultLasting = allocate(
    lastingNeed,
    domains,
    weightOf,
    () => maxReplicas,
  );
  const available = domains.filter(domain => !isSpotUnavailable(domain));
  const reserveFactor =
    domains.length > 1 ? domains.length / (domains.length - 1) : 1;
  const spotNeed =
    spotPrice === null
      ? 0
      : mix.spotHeadroom * reserveFactor * (need - lastingNeed);
  const spot = allocate(
    spotNeed,
    available,
    weightOf,
    domain =>
      maxReplicas - Math.max(minReplicas, defaultLasting.get(domain) ?? 0),
  );
  // Where spot replicas are unavailable, only the active ones count.
  const spotIn = (domain: FailureDomainId): number =>
    available.includes(domain)
      ? (spot.get(domain) ?? 0)
      : activeIn(census, domain).spot;
  const spotTotal = domains.reduce((sum, domain) => sum + spotIn(domain), 0);
  const isShort = available.length < domains.length && spotPrice !== null;
  const lasting = isShort
    ? allocate(
        Math.max(lastingNeed, need - spotTotal),
        domains,
        weightOf,
        domain => maxReplicas - spotIn(domain),
      )
    : defaultLasting;
  return new Map(
    domains.map(domain => {
      const spotHere = spotIn(domain);
      const minLasting = Math.max(0, minReplicas - spotHere);
      return [
        domain,
        {
          lasting: Math.max(minLasting, lasting.get(domain) ?? 0),
          spot: spotHere,
        },
      ];
    }),
  );
}

/**
 * Computes the next step from the active replicas towards a plan.
 *
 * Increases are made at once, as far as the bounds allow. On-demand (`lasting`) replicas
 * are released only as far as the remaining active replicas still cover the need.
 *
 * @param inputs - need, bounds and active replicas
 * @param plan - target of the step
 * @returns numbers of replicas to order now
 */
export function stepTowards(
  inputs: PlanInputs,
  plan: ReplicaPlan,
): ReplicaPlan {
  const { census, need, scaling } = inputs;
  const { maxReplicas, minReplicas } = scaling;
  let spare = Math.max(0, Math.floor(totalActive(census) - need));
  return new Map(
    [...plan].map(([domain, wanted]) => {
      const { lasting, spot } = activeIn(census, domain);
      const surplus = Math.max(0, lasting - wanted.lasting);
      const isBelowMin = lasting + spot - surplus < minReplicas;
      const releasable = isBelowMin ? 0 : Math.min(surplus, spare);
      spare -= releasable;
      const lastingNext = Math.max(wanted.lasting, lasting - releasable);
      const roomForSpot = maxReplicas - Math.max(lasting, lastingNext);
      return [
        domain,
        {
          lasting: lastingNext,
          spot: Math.max(0, Math.min(wanted.spot, roomForSpot)),
        },
      ];
    }),
  );
}
