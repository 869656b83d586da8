import type { RouteId } from '@jujubecroft/types';

/** Weight of the newest retry. */
const RETRY_WEIGHT = 0.15;
/** Share of retries that answer, assumed at first. */
const PRIOR_GAIN = 0.7;
/** Share below which retries are mostly in vain. */
const MIN_GAIN = 0.35;
/** Every so many failures one is retried all the same, to see whether it helps again. */
const PROBE_EVERY = 8;

/**
 * Learns for each route whether retries after a failure answer help.
 *
 * Guards against repeating what fails by its own content: it shows as requests
 * that fail at the second replica as at the first, which doubles the work of a
 * failing service and takes the retry budget from those it would save.
 */
export class RetryGain {
  readonly #gains = new Map<RouteId, number>();
  readonly #skipped = new Map<RouteId, number>();

  /** Takes in whether a retry answered. */
  onRetried(route: RouteId, answered: boolean): void {
    const before = this.#gains.get(route) ?? PRIOR_GAIN;
    const gain = answered ? 1 : 0;
    this.#gains.set(route, before + RETRY_WEIGHT * (gain - before));
  }

  /** @returns whether another failure of the route should be retried */
  isWorthIt(route: RouteId): boolean {
    if ((this.#gains.get(route) ?? PRIOR_GAIN) >= MIN_GAIN) {
      return true;
    }
    const skipped = (this.#skipped.get(route) ?? 0) + 1;
    this.#skipped.set(route, skipped % PROBE_EVERY);
    return skipped === PROBE_EVERY;
  }
}
