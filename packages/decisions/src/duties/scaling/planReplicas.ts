import type { FailureDomainId, ReplicaScaling } from '@jujubecroft/types';

import type { ReplicaCensus, StandingReplicas } from './replicaCensus.js';
import { standingIn, standingInAll } from './replicaCensus.js';

/** How replicas of both kinds are mixed. */
export interface MixOptions {
  /** Part of what is needed that nobody can reclaim. */
  readonly lastingShare: number;
  /** How many times what is needed stands ready in cheap ones, beside their cover. */
  readonly spotHeadroom: number;
}

export const DEFAULT_MIX: MixOptions = { lastingShare: 0.2, spotHeadroom: 1.6 };

/** What a plan is made from. */
export interface PlanFacts {
  readonly scaling: ReplicaScaling;
  readonly census: ReplicaCensus;
  /** Replicas that the load needs. */
  readonly need: number;
  /** Whether a failure domain has no cheap ones now. */
  readonly isDry: (domain: FailureDomainId) => boolean;
}

/** Replicas that should stand, by failure domain. */
export type ReplicaPlan = ReadonlyMap<FailureDomainId, StandingReplicas>;

/** Shares a number out by weight, in whole numbers and up to a bound for each. */
function allocate(
  total: number,
  domains: readonly FailureDomainId[],
  weightOf: (domain: FailureDomainId) => number,
  mostIn: (domain: FailureDomainId) => number,
): ReadonlyMap<FailureDomainId, number> {
  const given = new Map(domains.map(domain => [domain, 0]));
  const roomIn = (domain: FailureDomainId): number =>
    mostIn(domain) - (given.get(domain) ?? 0);
  Array.from({ length: Math.max(0, Math.ceil(total)) }).forEach(() => {
    const [next] = domains
      .filter(domain => roomIn(domain) >= 1)
      .map(domain => ({
        domain,
        filled: ((given.get(domain) ?? 0) + 1) / weightOf(domain),
      }))
      .sort((a, b) => a.filled - b.filled);
    if (next) {
      given.set(next.domain, (given.get(next.domain) ?? 0) + 1);
    }
  });
  return given;
}

/**
 * Plans how many replicas of each kind should stand in each failure domain.
 *
 * A part that lasts is kept for what is most urgent. The rest are cheap ones that may
 * be reclaimed, those of a whole failure domain at once, so there are enough of them
 * that what the others hold is still what is needed. Where cheap ones are nowhere to be
 * had and too few stand, others take their place.
 *
 * @param facts - need, prices, bounds and what stands
 * @param mix - of the kinds
 * @returns the plan; all of them last where no cheap ones are offered
 */
export function planReplicas(
  { scaling, need, census, isDry }: PlanFacts,
  mix: MixOptions = DEFAULT_MIX,
): ReplicaPlan {
  const { domainPrices, minReplicas, maxReplicas, spotPrice } = scaling;
  const domains = Object.keys(domainPrices) as FailureDomainId[];
  const weightOf = (domain: FailureDomainId): number =>
    1 / Math.max(0.01, domainPrices[domain] ?? 1);
  const lastingNeed = spotPrice === null ? need : mix.lastingShare * need;
  const usual = allocate(lastingNeed, domains, weightOf, () => maxReplicas);
  const open = domains.filter(domain => !isDry(domain));
  const cover = domains.length > 1 ? domains.length / (domains.length - 1) : 1;
  const spotNeed =
    spotPrice === null ? 0 : mix.spotHeadroom * cover * (need - lastingNeed);
  const spot = allocate(
    spotNeed,
    open,
    weightOf,
    domain => maxReplicas - Math.max(minReplicas, usual.get(domain) ?? 0),
  );
  // Where no cheap ones are to be had, what stands of them is all that there is.
  const spotIn = (domain: FailureDomainId): number =>
    open.includes(domain)
      ? (spot.get(domain) ?? 0)
      : standingIn(census, domain).spot;
  const spotTotal = domains.reduce((sum, domain) => sum + spotIn(domain), 0);
  const isShort = open.length < domains.length && spotPrice !== null;
  const lasting = isShort
    ? allocate(
        Math.max(lastingNeed, need - spotTotal),
        domains,
        weightOf,
        domain => maxReplicas - spotIn(domain),
      )
    : usual;
  return new Map(
    domains.map(domain => {
      const cheap = spotIn(domain);
      const atLeast = Math.max(0, minReplicas - cheap);
      return [
        domain,
        { lasting: Math.max(atLeast, lasting.get(domain) ?? 0), spot: cheap },
      ];
    }),
  );
}

/**
 * The next step from what stands towards a plan.
 *
 * More come at once, as far as the bounds leave room. What lasts is given back only
 * where those that stand without it are still what is needed.
 *
 * @param facts - need, bounds and what stands
 * @param plan - where to
 * @returns replicas to order now
 */
export function stepTowards(facts: PlanFacts, plan: ReplicaPlan): ReplicaPlan {
  const { census, need, scaling } = facts;
  const { maxReplicas, minReplicas } = scaling;
  let spare = Math.max(0, Math.floor(standingInAll(census) - need));
  return new Map(
    [...plan].map(([domain, wanted]) => {
      const { lasting, spot } = standingIn(census, domain);
      const surplus = Math.max(0, lasting - wanted.lasting);
      const isBelowMin = lasting + spot - surplus < minReplicas;
      const back = isBelowMin ? 0 : Math.min(surplus, spare);
      spare -= back;
      const lastingNext = Math.max(wanted.lasting, lasting - back);
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
