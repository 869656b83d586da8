/** Weight of the newest sample. */
const SAMPLE_WEIGHT = 0.05;
/** Tokens a millisecond assumed before anything was seen; a cautious figure for large models. */
const PRIOR_TOKENS_PER_MS = 60;
const MIN_TOKENS_PER_MS = 5;
const MAX_TOKENS_PER_MS = 1000;
/** Time to a first event without any prompt to read, assumed at first. */
const PRIOR_BASE_MS = 40;
/** Part of the earlier sums that counts on with each sample; some forty count. */
const QUEUE_KEPT = 0.975;
/** Weight of the rate assumed at first, as time over which it was seen. */
const PRIOR_QUEUE_MS = 200;
/** Weight of the newest deferred request in how much such are overtaken. */
const STRETCH_WEIGHT = 0.1;
const MAX_STRETCH = 6;
/** Samples with at least this many tokens say something about the rate. */
const RATE_SAMPLE_TOKENS = 3000;
/** Samples with at most this many say something about the base. */
const BASE_SAMPLE_TOKENS = 1000;

/** What the queue of one priority has been like. */
interface QueueHistory {
  /** Tokens that requests had to wait for, their own included. */
  tokens: number;
  /** Time that they waited. */
  ms: number;
  /** Time that a deferred request took against what was ahead of it at first. */
  deferredStretch: number;
}

/**
 * Learns how fast the engines of one service read prompts.
 *
 * The rate is learnt from the same figures from which waits are predicted,
 * tokens ahead of a request against its time to the first event, so errors that
 * both share cancel out.
 */
export class EngineEstimator {
  #tokensPerMs = PRIOR_TOKENS_PER_MS;
  readonly #queues = new Map<number, QueueHistory>();
  #baseMs = PRIOR_BASE_MS;

  /** Prompt tokens that one engine reads in a millisecond. */
  get tokensPerMs(): number {
    return this.#tokensPerMs;
  }

  /**
   * Prompt tokens that an engine gets through in a millisecond while others wait.
   *
   * All tokens over all time, unlike the mean of rates above, in which the many
   * short waits of light load count as much as the few long ones: it was half as
   * high again as what requests then met in a burst.
   *
   * Each priority has its own: less urgent requests are overtaken while they wait,
   * so the same tokens take them longer. In one figure their waits made urgent
   * requests seem late that were not, which put them behind others or refused them.
   *
   * @param priority - of the requests that wait, 0 first
   */
  queueTokensPerMs(priority: number): number {
    const { tokens, ms } = this.#queueOf(priority);
    return tokens / ms;
  }

  /** Time to a first event when nothing has to be read, in milliseconds. */
  get baseMs(): number {
    return this.#baseMs;
  }

  /**
   * Time that a deferred request took against what was ahead of it at first.
   *
   * @param priority - of the request
   */
  deferredStretch(priority: number): number {
    return this.#queueOf(priority).deferredStretch;
  }

  /**
   * Takes in how long a deferred request has waited for its first event, or until
   * it was given up.
   *
   * @param priority - of the request
   * @param tookMs - from sending
   * @param aheadMs - that what was ahead of it would have taken
   */
  onDeferred(priority: number, tookMs: number, aheadMs: number): void {
    const ratio = tookMs / Math.max(1, aheadMs);
    const bounded = Math.min(MAX_STRETCH, Math.max(1, ratio));
    const queue = this.#queueOf(priority);
    queue.deferredStretch += STRETCH_WEIGHT * (bounded - queue.deferredStretch);
  }

  /**
   * Takes in one first event.
   *
   * @param priority - of the request
   * @param tokens - that were to be read at the replica up to this request's end
   * @param tookMs - from sending to the first event
   */
  onFirstEvent(priority: number, tokens: number, tookMs: number): void {
    if (tokens <= BASE_SAMPLE_TOKENS) {
      const baseMs = Math.max(0, tookMs - tokens / this.#tokensPerMs);
      this.#baseMs += SAMPLE_WEIGHT * (baseMs - this.#baseMs);
      return;
    }
    if (tokens < RATE_SAMPLE_TOKENS) {
      return;
    }
    const readMs = Math.max(1, tookMs - this.#baseMs);
    const queue = this.#queueOf(priority);
    queue.tokens = QUEUE_KEPT * queue.tokens + tokens;
    queue.ms = QUEUE_KEPT * queue.ms + readMs;
    const rate = tokens / readMs;
    const bounded = Math.min(
      MAX_TOKENS_PER_MS,
      Math.max(MIN_TOKENS_PER_MS, rate),
    );
    this.#tokensPerMs += SAMPLE_WEIGHT * (bounded - this.#tokensPerMs);
  }

  #queueOf(priority: number): QueueHistory {
    const known = this.#queues.get(priority);
    if (known) {
      return known;
    }
    const queue = {
      tokens: PRIOR_TOKENS_PER_MS * PRIOR_QUEUE_MS,
      ms: PRIOR_QUEUE_MS,
      deferredStretch: 1,
    };
    this.#queues.set(priority, queue);
    return queue;
  }
}
