import type { Organisation, OrganisationId } from '@jujubecroft/types';

import { smooth } from '../util/smooth.js';
import { TokenBucket } from './TokenBucket.js';

interface Entry {
  organisation: Organisation;
  /** Share of the limit that this instance may use. */
  share: number;
  /** Time at which the owner's grant of that share ends. */
  leaseEndsMs: number;
  /** Smoothed demand, in requests per measurement period. */
  demand: number;
  /** Requests offered in the current measurement period. */
  offered: number;
  readonly requests: TokenBucket;
  readonly tokens: TokenBucket;
}

/** Demand of one organisation at this instance. */
export interface Demand {
  readonly organisation: OrganisationId;
  readonly requests: number;
}

const DEMAND_SMOOTHING = 0.5;
/**
 * Demand, as a part of the even share, from which it is reported to the owner.
 */
const REPORT_THRESHOLD = 0.5;
/** Time for which a share is valid unless the owner renews it. */
const SHARE_LEASE_MS = 10_000;

/**
 * Enforces an instance's share of the limits of organisations.
 *
 * Without a lease, the share is an even part of the limit. If an organisation
 * uses much of it, its demand is reported to the limit's owner, which answers
 * with a share in proportion to demand. This needs no writes to the platform.
 * See docs/design/limits.md.
 */
export class OrganisationLimits {
  readonly #entries = new Map<OrganisationId, Entry>();
  #instances = 1;

  /**
   * Applies the declared limits and drops the entries of removed organisations.
   */
  configure(organisations: readonly Organisation[], nowMs: number): void {
    const declared = new Set(organisations.map(({ id }) => id));
    [...this.#entries.keys()]
      .filter(id => !declared.has(id))
      .forEach(id => this.#entries.delete(id));
    organisations.forEach(organisation => {
      const known = this.#entries.get(organisation.id);
      if (known) {
        known.organisation = organisation;
        this.#applyShare(known, nowMs);
        return;
      }
      this.#entries.set(organisation.id, this.#newEntry(organisation, nowMs));
    });
  }

  /**
   * Charges a request to its organisation's limits.
   *
   * @param id - organisation of the request
   * @param expectedTokens - estimate that `settle` corrects later
   * @param nowMs - present time
   * @returns 0 if the request is within the limits, else milliseconds until a
   *   retry is useful
   */
  charge(id: OrganisationId, expectedTokens: number, nowMs: number): number {
    const entry = this.#entries.get(id);
    if (!entry) {
      return 0;
    }
    entry.offered += 1;
    const waitMs = Math.max(
      entry.requests.waitMs(nowMs),
      entry.tokens.waitMs(nowMs),
    );
    if (waitMs === 0) {
      entry.requests.take(1);
      entry.tokens.take(expectedTokens);
    }
    return waitMs;
  }

  /**
   * Corrects an earlier charge by the difference to the actual number of
   * tokens.
   */
  settle(id: OrganisationId, difference: number): void {
    this.#entries.get(id)?.tokens.take(difference);
  }

  /**
   * Ends a one-second period of demand measurement.
   *
   * @param instances - number of live instances, this one included
   * @param nowMs - present time
   * @returns demands to report to their owners, the highest in relation to the
   *   limit first
   */
  closePeriod(instances: number, nowMs: number): readonly Demand[] {
    this.#instances = instances;
    const reportable: {
      readonly demand: Demand;
      readonly utilisation: number;
    }[] = [];
    this.#entries.forEach((entry, organisation) => {
      entry.demand = smooth(entry.demand, entry.offered, DEMAND_SMOOTHING);
      entry.offered = 0;
      this.#expireLease(entry, nowMs);
      const utilisation = this.#utilisationOf(entry);
      if (utilisation >= REPORT_THRESHOLD) {
        reportable.push({
          demand: { organisation, requests: entry.demand },
          utilisation,
        });
      }
    });
    return reportable
      .sort((a, b) => b.utilisation - a.utilisation)
      .map(({ demand }) => demand);
  }

  /** Applies a share that the owner granted as a lease. */
  grant(id: OrganisationId, share: number, nowMs: number): void {
    const entry = this.#entries.get(id);
    if (entry) {
      entry.share = share;
      entry.leaseEndsMs = nowMs + SHARE_LEASE_MS;
      this.#applyShare(entry, nowMs);
    }
  }

  /**
   * Demand in relation to the even share; a larger leased share doesn't lower
   * it.
   */
  #utilisationOf({ demand, organisation }: Entry): number {
    const even = organisation.limits.requestsPerSecond / this.#instances;
    return demand / even;
  }

  #expireLease(entry: Entry, nowMs: number): void {
    const even = 1 / this.#instances;
    if (entry.leaseEndsMs <= nowMs && entry.share !== even) {
      entry.share = even;
      this.#applyShare(entry, nowMs);
    }
  }

  #newEntry(organisation: Organisation, nowMs: number): Entry {
    const share = 1 / this.#instances;
    const { requestsPerSecond, tokensPerSecond } = organisation.limits;
    return {
      organisation,
      share,
      leaseEndsMs: 0,
      demand: 0,
      offered: 0,
      requests: new TokenBucket(requestsPerSecond * share, nowMs),
      tokens: new TokenBucket(tokensPerSecond * share, nowMs),
    };
  }

  #applyShare(entry: Entry, nowMs: number): void {
    const { requestsPerSecond, tokensPerSecond } = entry.organisation.limits;
    entry.requests.setRate(requestsPerSecond * entry.share, nowMs);
    entry.tokens.setRate(tokensPerSecond * entry.share, nowMs);
  }
}
