/** Initial and highest bound, as a share of the longest time left. */
const PRIOR_SHARE = 0.97;
/**
 * Lowest value of the bound. In an overload many requests are retries; without
 * this limit the bound would adapt to them and take them for first attempts.
 */
const MIN_SHARE = 0.8;
/** Share of requests that fall below the bound once it has converged. */
const QUANTILE = 0.05;
/** Step size by which each request moves the bound. */
const STEP = 0.02;
/** A retry has less time left than the bound by at least this share. */
const MARGIN = 0.02;

/**
 * Distinguishes callers' retries on a route from their first attempts.
 *
 * Each retry has a new request id, but callers count their time limit from the
 * first attempt, so a retry has noticeably less time left. The time left of
 * first attempts varies by route: some callers all use the same limit, others
 * vary it by 15 %. The detector therefore tracks a low quantile of the time
 * left. A bound that assumed equal limits would take four of five first
 * attempts for retries.
 */
export class CallerRetryDetector {
  #longestMs = 0;
  #share = PRIOR_SHARE;

  /**
   * Records a request and classifies it.
   *
   * @param timeLeftMs - time until the caller's deadline, in milliseconds
   * @returns whether the request seems to be a retry
   */
  observe(timeLeftMs: number): boolean {
    this.#longestMs = Math.max(this.#longestMs, timeLeftMs);
    const share = timeLeftMs / Math.max(1, this.#longestMs);
    const isSecond = share < this.#share - MARGIN;
    const moved =
      this.#share + STEP * (QUANTILE - (share < this.#share ? 1 : 0));
    this.#share = Math.min(PRIOR_SHARE, Math.max(MIN_SHARE, moved));
    return isSecond;
  }
}
