import type { Tier } from '@jujubecroft/types';

type PerTier = Record<Tier, number>;

const TIERS: readonly Tier[] = [1, 2, 3, 4];
const zero = (): PerTier => ({ 1: 0, 2: 0, 3: 0, 4: 0 });

/** Time constant of the moving average of the demand. */
const DEMAND_WINDOW_MS = 5000;

/** Demand and requests in flight of one pool by tier, for one instance. */
export class PoolLoad {
  /** Requests of this instance in flight on servers of the pool. */
  readonly inFlight = zero();
  /** Moving average of the demand in tokens per millisecond, including shed requests. */
  readonly offered = zero();
  #tokensInPeriod = zero();
  #periodStartMs: number;

  constructor(nowMs: number) {
    this.#periodStartMs = nowMs;
  }

  /** Adds a request to the demand of its tier. */
  note(tier: Tier, expectedTokens: number): void {
    this.#tokensInPeriod[tier] += expectedTokens;
  }

  /** Ends a measurement period and updates the averages. */
  updateAverages(nowMs: number): void {
    const elapsedMs = nowMs - this.#periodStartMs;
    if (elapsedMs <= 0) {
      return;
    }
    const weight = 1 - Math.exp(-elapsedMs / DEMAND_WINDOW_MS);
    TIERS.forEach(tier => {
      // The average starts from zero, not from the first sample; otherwise one early
      // request would look like a burst and block lower tiers.
      const latest = this.#tokensInPeriod[tier] / elapsedMs;
      this.offered[tier] += weight * (latest - this.offered[tier]);
    });
    this.#tokensInPeriod = zero();
    this.#periodStartMs = nowMs;
  }

  /** Demand of the tiers above the given one, in tokens per millisecond. */
  offeredAbove(tier: Tier): number {
    return TIERS.filter(other => other < tier).reduce(
      (sum, other) => sum + this.offered[other],
      0,
    );
  }

  /** Requests in flight of the given tier and all tiers below it. */
  inFlightFrom(tier: Tier): number {
    return TIERS.filter(other => other >= tier).reduce(
      (sum, other) => sum + this.inFlight[other],
      0,
    );
  }
}
