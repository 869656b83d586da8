/** Smoothing factor of the reading rate and of the base time. */
const SAMPLE_WEIGHT = 0.05;
/** Initial reading rate; a conservative value for large models. */
const INITIAL_TOKENS_PER_MS = 60;
const MIN_TOKENS_PER_MS = 5;
const MAX_TOKENS_PER_MS = 1000;
/** Initial time to the first event without a prompt to read. */
const INITIAL_BASE_MS = 40;
/** Decay of the sums with each sample; about forty samples contribute. */
const QUEUE_DECAY = 0.975;
/**
 * Weight of the initial rate in the sums, as the waiting time in milliseconds
 * that it stands for.
 */
const INITIAL_QUEUE_MS = 200;
/** Smoothing factor of the delay factor of deferred requests. */
const DELAY_FACTOR_WEIGHT = 0.1;
const MAX_DELAY_FACTOR = 6;
/** Smallest number of tokens in a sample that is used to estimate the rate. */
const MIN_RATE_SAMPLE_TOKENS = 3000;
/**
 * Largest number of tokens in a sample that is used to estimate the base time.
 */
const MAX_BASE_SAMPLE_TOKENS = 1000;

/** Decayed sums over the requests of one priority. */
interface QueueHistory {
  /** Tokens that requests waited for, their own included. */
  tokens: number;
  /** Time that they waited, in milliseconds. */
  ms: number;
  /**
   * Smoothed ratio of the wait of deferred requests to the predicted time to
   * read the tokens that were ahead of them when they were sent.
   */
  deferredDelayFactor: number;
}

/**
 * Learns how fast the engines of one service read prompts.
 *
 * The rate is estimated from the same quantities that predictions use, the
 * tokens ahead of a request and its time to the first event, so that errors
 * common to both cancel out.
 */
export class EngineEstimator {
  #tokensPerMs = INITIAL_TOKENS_PER_MS;
  readonly #queues = new Map<number, QueueHistory>();
  #baseMs = INITIAL_BASE_MS;

  /**
   * Prompt tokens that one engine reads per millisecond, as a mean over
   * samples.
   */
  get tokensPerMs(): number {
    return this.#tokensPerMs;
  }

  /**
   * Returns the prompt tokens that an engine reads per millisecond while
   * requests queue.
   *
   * This is the total of tokens divided by the total of time, unlike the mean
   * of rates in `tokensPerMs`, where the many short waits under light load
   * count as much as the few long ones: in a burst, the mean of rates was 50 %
   * higher than the rate that requests met.
   *
   * Rates are kept per priority. Less urgent requests are overtaken while they
   * wait, so the same number of tokens takes them longer. In a common rate,
   * their waits made urgent requests seem late, which demoted or rejected
   * requests that would have been on time.
   *
   * @param priority - position of the waiting requests in the priority order, 0
   *   first
   */
  queueTokensPerMs(priority: number): number {
    const { tokens, ms } = this.#queueOf(priority);
    return tokens / ms;
  }

  /** Time to the first event when no prompt has to be read, in milliseconds. */
  get baseMs(): number {
    return this.#baseMs;
  }

  /**
   * Returns the factor by which deferred requests wait longer than it takes to
   * read the tokens that were ahead of them when they were sent.
   *
   * @param priority - position of the request in the priority order, 0 first
   */
  deferredDelayFactor(priority: number): number {
    return this.#queueOf(priority).deferredDelayFactor;
  }

  /**
   * Records how long a deferred request waited for its first event, or until it
   * was abandoned.
   *
   * @param priority - position of the request in the priority order, 0 first
   * @param tookMs - time since the request was sent, in milliseconds
   * @param aheadMs - predicted time to read the tokens that were ahead of it,
   *   in milliseconds
   */
  onDeferredWait(priority: number, tookMs: number, aheadMs: number): void {
    const ratio = tookMs / Math.max(1, aheadMs);
    const bounded = Math.min(MAX_DELAY_FACTOR, Math.max(1, ratio));
    const queue = this.#queueOf(priority);
    queue.deferredDelayFactor +=
      DELAY_FACTOR_WEIGHT * (bounded - queue.deferredDelayFactor);
  }

  /**
   * Records the time to the first event of a request.
   *
   * @param priority - position of the request in the priority order, 0 first
   * @param tokens - prompt tokens read at the replica up to the end of this
   *   prompt
   * @param tookMs - time from sending to the first event, in milliseconds
   */
  onFirstEvent(priority: number, tokens: number, tookMs: number): void {
    if (tokens <= MAX_BASE_SAMPLE_TOKENS) {
      const baseMs = Math.max(0, tookMs - tokens / this.#tokensPerMs);
      this.#baseMs += SAMPLE_WEIGHT * (baseMs - this.#baseMs);
      return;
    }
    if (tokens < MIN_RATE_SAMPLE_TOKENS) {
      return;
    }
    const readMs = Math.max(1, tookMs - this.#baseMs);
    const queue = this.#queueOf(priority);
    queue.tokens = QUEUE_DECAY * queue.tokens + tokens;
    queue.ms = QUEUE_DECAY * queue.ms + readMs;
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
      tokens: INITIAL_TOKENS_PER_MS * INITIAL_QUEUE_MS,
      ms: INITIAL_QUEUE_MS,
      deferredDelayFactor: 1,
    };
    this.#queues.set(priority, queue);
    return queue;
  }
}
