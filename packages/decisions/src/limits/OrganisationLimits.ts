import type { Organisation, OrganisationId } from '@jujubecroft/types';

import { smooth } from '../util/smooth.js';
import { demandShare } from './demandShare.js';
import { TokenBucket } from './TokenBucket.js';

interface Entry {
  organisation: Organisation;
  share: number;
  demand: number;
  offered: number;
  readonly requests: TokenBucket;
  readonly tokens: TokenBucket;
}

/** Demand for each organisation, as instances tell each other. */
export type DemandTable = ReadonlyMap<OrganisationId, number>;

const DEMAND_SMOOTHING = 0.5;
/** Requests per period below which a demand is not worth telling. */
const MIN_DEMAND = 0.05;

/**
 * Enforces the limits of organisations on this instance's share of them.
 *
 * Shares follow demand: each instance hears the demand of its peers and works
 * out its own share, without a write to the platform. See docs/design/limits.md
 * for the overshoot while figures differ.
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

  /** Smoothed requests per period for the peers; idle organisations are left out. */
  get demands(): DemandTable {
    return new Map(
      [...this.#entries]
        .filter(([, { demand }]) => demand >= MIN_DEMAND)
        .map(([id, { demand }]) => [id, demand]),
    );
  }

  /** Closes a period of demand measurement. */
  takeDemand(): void {
    this.#entries.forEach(entry => {
      entry.demand = smooth(entry.demand, entry.offered, DEMAND_SMOOTHING);
      entry.offered = 0;
    });
  }

  /**
   * Works out the shares of this instance anew.
   *
   * @param peers - demand tables of the live peers, empty ones where unheard
   * @param nowMs - present time
   */
  rebalance(peers: readonly DemandTable[], nowMs: number): void {
    this.#instances = peers.length + 1;
    this.#entries.forEach((entry, id) => {
      const demands = peers.map(table => table.get(id) ?? 0);
      entry.share = demandShare(entry.demand, demands);
      this.#applyShare(entry, nowMs);
    });
  }

  #newEntry(organisation: Organisation, nowMs: number): Entry {
    const share = 1 / this.#instances;
    const { requestsPerSecond, tokensPerSecond } = organisation.limits;
    return {
      organisation,
      share,
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
