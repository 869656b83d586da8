import type { RouteId } from '@jujubecroft/types';

/** Weight of the newest retry in the moving average. */
const RETRY_WEIGHT = 0.15;
/** Success rate of retries that is assumed at first. */
const PRIOR_SUCCESS_RATE = 0.7;
/** Success rate below which retries are skipped. */
const MIN_SUCCESS_RATE = 0.35;
/**
 * One in this many skipped retries is sent all the same, to detect when retries
 * help again.
 */
const PROBE_EVERY = 8;

/**
 * Learns for each route whether retries after a failure answer help.
 *
 * Guards against repeating requests that fail because of their own content.
 * They fail at the second replica as at the first, so that retries double the
 * work of a failing service and use up the retry budget of requests that a
 * retry would save.
 */
export class RetryGain {
  readonly #successRates = new Map<RouteId, number>();
  readonly #skipped = new Map<RouteId, number>();

  /** Records whether a retry was answered. */
  onRetried(route: RouteId, answered: boolean): void {
    const before = this.#successRates.get(route) ?? PRIOR_SUCCESS_RATE;
    const outcome = answered ? 1 : 0;
    this.#successRates.set(route, before + RETRY_WEIGHT * (outcome - before));
  }

  /** Whether another failure of the route should be retried. */
  shouldRetry(route: RouteId): boolean {
    if (
      (this.#successRates.get(route) ?? PRIOR_SUCCESS_RATE) >= MIN_SUCCESS_RATE
    ) {
      return true;
    }
    const skipped = (this.#skipped.get(route) ?? 0) + 1;
    this.#skipped.set(route, skipped % PROBE_EVERY);
    return skipped === PROBE_EVERY;
  }
}
