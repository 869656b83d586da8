/** Weight of the newest sample. */
const SAMPLE_WEIGHT = 0.05;
/** Tokens a millisecond assumed before anything was seen; a cautious figure for large models. */
const PRIOR_TOKENS_PER_MS = 60;
const MIN_TOKENS_PER_MS = 5;
const MAX_TOKENS_PER_MS = 1000;
/** Time to a first event without any prompt to read, assumed at first. */
const PRIOR_BASE_MS = 40;
/** Samples with at least this many tokens say something about the rate. */
const RATE_SAMPLE_TOKENS = 3000;
/** Samples with at most this many say something about the base. */
const BASE_SAMPLE_TOKENS = 1000;

/**
 * Learns how fast the engines of one service read prompts.
 *
 * The rate is learnt from the same figures from which waits are predicted,
 * tokens ahead of a request against its time to the first event, so errors that
 * both share cancel out.
 */
export class EngineEstimator {
  #tokensPerMs = PRIOR_TOKENS_PER_MS;
  #baseMs = PRIOR_BASE_MS;

  /** Prompt tokens that one engine reads in a millisecond. */
  get tokensPerMs(): number {
    return this.#tokensPerMs;
  }

  /** Time to a first event when nothing has to be read, in milliseconds. */
  get baseMs(): number {
    return this.#baseMs;
  }

  /**
   * Takes in one first event.
   *
   * @param tokens - that were to be read at the replica up to this request's end
   * @param tookMs - from sending to the first event
   */
  onFirstEvent(tokens: number, tookMs: number): void {
    if (tokens <= BASE_SAMPLE_TOKENS) {
      const baseMs = Math.max(0, tookMs - tokens / this.#tokensPerMs);
      this.#baseMs += SAMPLE_WEIGHT * (baseMs - this.#baseMs);
      return;
    }
    if (tokens < RATE_SAMPLE_TOKENS) {
      return;
    }
    const rate = tokens / Math.max(1, tookMs - this.#baseMs);
    const bounded = Math.min(
      MAX_TOKENS_PER_MS,
      Math.max(MIN_TOKENS_PER_MS, rate),
    );
    this.#tokensPerMs += SAMPLE_WEIGHT * (bounded - this.#tokensPerMs);
  }
}
