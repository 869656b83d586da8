/** Share of the longest time left that nearly all first tries have, at first. */
const PRIOR_SHARE = 0.97;
/**
 * Least share that first tries are believed to have. In an overload many requests
 * are second tries, and would pass for the usual.
 */
const MIN_SHARE = 0.8;
/** Share of requests below which the estimate settles. */
const QUANTILE = 0.05;
/** Step of the estimate with each request. */
const STEP = 0.02;
/** Second tries have less left than that by at least so much. */
const MARGIN = 0.02;

/**
 * Tells second tries of a route's callers from first ones.
 *
 * Each try has an id of its own, but callers count their waiting time from the
 * first, so a second try has noticeably less left than first ones have. How much
 * first ones have differs: some callers all wait equally long, others do within
 * 15 in 100. Taken for equal, four of five first tries pass for second ones.
 */
export class FirstTries {
  #longestMs = 0;
  #share = PRIOR_SHARE;

  /**
   * Takes in a request.
   *
   * @param timeLeftMs - as the caller said
   * @returns whether it seems to be a second try
   */
  isSecond(timeLeftMs: number): boolean {
    this.#longestMs = Math.max(this.#longestMs, timeLeftMs);
    const share = timeLeftMs / Math.max(1, this.#longestMs);
    const isSecond = share < this.#share - MARGIN;
    const moved =
      this.#share + STEP * (QUANTILE - (share < this.#share ? 1 : 0));
    this.#share = Math.min(PRIOR_SHARE, Math.max(MIN_SHARE, moved));
    return isSecond;
  }
}
