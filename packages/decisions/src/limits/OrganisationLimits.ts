import type { Organisation, OrganisationId } from '@jujubecroft/types';

import { smooth } from '../util/smooth.js';
import { TokenBucket } from './TokenBucket.js';

interface Entry {
  organisation: Organisation;
  /** Share that the owner gave, and how long it holds. */
  share: number;
  leaseEndsMs: number;
  demand: number;
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
/** Part of the even share in use from which a demand is worth reporting. */
const HOT_PART = 0.5;
/** A share holds this long without a word from the owner. */
const SHARE_LEASE_MS = 10_000;

/**
 * Enforces the limits of organisations on this instance's share of them.
 *
 * Without a lease the share is an even part of the limit. An organisation that
 * uses a good part of it is reported to its owner, which answers with a share by
 * demand. No write to the platform is needed. See docs/design/limits.md.
 */
export class OrganisationLimits {
  readonly #entries = new Map<OrganisationId, Entry>();
  #instances = 1;

  /** Takes over declared limits; entries of removed organisations are dropped. */
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
   * Charges a request.
   *
   * @param id - organisation of the request
   * @param expectedTokens - estimate that `settle` corrects later
   * @param nowMs - present time
   * @returns 0 when within the limits, else milliseconds until a retry is useful
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

  /** Corrects an earlier charge by the difference to the true length. */
  settle(id: OrganisationId, difference: number): void {
    this.#entries.get(id)?.tokens.take(difference);
  }

  /**
   * Closes a second of demand measurement.
   *
   * @param instances - live instances, this one included
   * @param nowMs - present time
   * @returns organisations whose owner should hear of them, the hottest first
   */
  closePeriod(instances: number, nowMs: number): readonly Demand[] {
    this.#instances = instances;
    const hot: { readonly demand: Demand; readonly use: number }[] = [];
    this.#entries.forEach((entry, organisation) => {
      entry.demand = smooth(entry.demand, entry.offered, DEMAND_SMOOTHING);
      entry.offered = 0;
      this.#endLease(entry, nowMs);
      const use = this.#useOf(entry);
      if (use >= HOT_PART) {
        hot.push({ demand: { organisation, requests: entry.demand }, use });
      }
    });
    return hot.sort((a, b) => b.use - a.use).map(({ demand }) => demand);
  }

  /** Takes over a share that the owner gave, as a lease. */
  grant(id: OrganisationId, share: number, nowMs: number): void {
    const entry = this.#entries.get(id);
    if (entry) {
      entry.share = share;
      entry.leaseEndsMs = nowMs + SHARE_LEASE_MS;
      this.#applyShare(entry, nowMs);
    }
  }

  /** Demand over the even share; above the even part of a lease it stays hot. */
  #useOf({ demand, organisation }: Entry): number {
    const even = organisation.limits.requestsPerSecond / this.#instances;
    return demand / even;
  }

  #endLease(entry: Entry, nowMs: number): void {
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
