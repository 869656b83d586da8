import type { RouteId } from '@jujubecroft/types';

import type { Clock } from '../blackboard/Blackboard.js';
import { DemandRate } from './DemandRate.js';

/** Demand of one route's requests on engines. */
export interface RouteDemand {
  readonly route: RouteId;
  /** Prompt tokens to be read per second. */
  readonly tokensPerS: number;
  /** Number of requests in flight. */
  readonly inFlight: number;
}

/**
 * Time constant of the smoothed demand; short enough to follow bursts of a few
 * seconds.
 */
const SMOOTHING_MS = 3000;
const MS_PER_SECOND = 1000;
/** Smoothing factor of the mean request size. */
const SIZE_WEIGHT = 0.1;

function updateMeanSize(
  sizes: Map<RouteId, number>,
  route: RouteId,
  tokens: number,
): void {
  const size = sizes.get(route) ?? tokens;
  sizes.set(route, size + SIZE_WEIGHT * (tokens - size));
}

/** Tracks the demand of each route at this instance and its peers. */
export class DemandTracker {
  readonly #tokens = new Map<RouteId, DemandRate>();
  readonly #inFlight = new Map<RouteId, number>();
  readonly #admittedSizes = new Map<RouteId, number>();
  readonly #offeredSizes = new Map<RouteId, number>();
  #peers: readonly RouteDemand[] = [];

  constructor(private readonly clock: Clock) {}

  /**
   * Records a request that is sent to a replica, with the tokens to be read
   * there.
   */
  onRequest(route: RouteId, tokens: number): void {
    updateMeanSize(this.#admittedSizes, route, tokens);
    this.#rateOf(route).add(tokens);
    this.#inFlight.set(route, (this.#inFlight.get(route) ?? 0) + 1);
  }

  /** Records a request that a caller makes, whether it is admitted or not. */
  onOffered(route: RouteId, tokens: number): void {
    updateMeanSize(this.#offeredSizes, route, tokens);
  }

  /**
   * Returns the mean number of tokens to be read per offered request.
   *
   * Admitted requests may be smaller, as when only small ones find room.
   *
   * @returns the mean; 0 before the first request
   */
  meanOfferedTokens(route: RouteId): number {
    return this.#offeredSizes.get(route) ?? 0;
  }

  /**
   * Returns the mean number of tokens to be read per admitted request; 0 before
   * the first request.
   */
  meanAdmittedTokens(route: RouteId): number {
    return this.#admittedSizes.get(route) ?? 0;
  }

  /** Records that a request of the route is no longer in flight. */
  onEnded(route: RouteId): void {
    this.#inFlight.set(route, (this.#inFlight.get(route) ?? 1) - 1);
  }

  /** This instance's demand for each route, to be sent to other instances. */
  get own(): readonly RouteDemand[] {
    return [...this.#tokens].map(([route, tokens]) => ({
      route,
      tokensPerS: tokens.perMs * MS_PER_SECOND,
      inFlight: this.#inFlight.get(route) ?? 0,
    }));
  }

  /** Replaces the demand of the other instances. */
  onPeers(demands: readonly RouteDemand[]): void {
    this.#peers = demands;
  }

  /** Returns the total demand of some routes over all instances. */
  total(routes: readonly RouteId[]): Omit<RouteDemand, 'route'> {
    return [...this.own, ...this.#peers]
      .filter(({ route }) => routes.includes(route))
      .reduce(
        (sum, { tokensPerS, inFlight }) => ({
          tokensPerS: sum.tokensPerS + tokensPerS,
          inFlight: sum.inFlight + inFlight,
        }),
        { tokensPerS: 0, inFlight: 0 },
      );
  }

  #rateOf(route: RouteId): DemandRate {
    const known = this.#tokens.get(route);
    if (known) {
      return known;
    }
    const rate = new DemandRate(this.clock, SMOOTHING_MS);
    this.#tokens.set(route, rate);
    return rate;
  }
}
