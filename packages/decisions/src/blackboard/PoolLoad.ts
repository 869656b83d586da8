import type { Tier } from '@jujubecroft/types';

type PerTier = Record<Tier, number>;

const TIERS: readonly Tier[] = [1, 2, 3, 4];
const zero = (): PerTier => ({ 1: 0, 2: 0, 3: 0, 4: 0 });

/** Time over which demand is averaged. */
const DEMAND_WINDOW_MS = 5000;

/** Demand and use of one pool by tier, as one instance sees them. */
export class PoolLoad {
  /** Requests of this instance on servers of the pool. */
  readonly inFlight = zero();
  /** Smoothed tokens a millisecond that callers ask for, shed ones included. */
  readonly offered = zero();
  #tokensInPeriod = zero();
  #periodStartMs: number;

  constructor(nowMs: number) {
    this.#periodStartMs = nowMs;
  }

  note(tier: Tier, expectedTokens: number): void {
    this.#tokensInPeriod[tier] += expectedTokens;
  }

  /** Closes a period of measurement. */
  updateAverages(nowMs: number): void {
    const elapsedMs = nowMs - this.#periodStartMs;
    if (elapsedMs <= 0) {
      return;
    }
    const share = 1 - Math.exp(-elapsedMs / DEMAND_WINDOW_MS);
    TIERS.forEach(tier => {
      // Starts from nothing, not from its first reading: one early request
      // would otherwise look like a flood and keep lower tiers out.
      const latest = this.#tokensInPeriod[tier] / elapsedMs;
      this.offered[tier] += share * (latest - this.offered[tier]);
    });
    this.#tokensInPeriod = zero();
    this.#periodStartMs = nowMs;
  }

  /** Tokens a millisecond asked for by tiers above this one. */
  offeredAbove(tier: Tier): number {
    return TIERS.filter(other => other < tier).reduce(
      (sum, other) => sum + this.offered[other],
      0,
    );
  }

  /** Requests in flight of this tier and all below it. */
  inFlightFrom(tier: Tier): number {
    return TIERS.filter(other => other >= tier).reduce(
      (sum, other) => sum + this.inFlight[other],
      0,
    );
  }
}
