import type { WeightGrant } from '@jujubecroft/stores';

const MS_PER_MINUTE = 60_000;

/** Limits the rate of model weight loads by a minimum interval between them. */
export class WeightLoadLimiter {
  #nextAtMs = 0;

  constructor(private readonly loadsPerMinute: number) {}

  /**
   * Requests permission for one load.
   *
   * @param nowMs - current time
   * @returns a grant, or the time to wait before the next attempt
   */
  request(nowMs: number): WeightGrant {
    if (nowMs < this.#nextAtMs) {
      return { granted: false, retryAfterMs: this.#nextAtMs - nowMs };
    }
    this.#nextAtMs = nowMs + MS_PER_MINUTE / this.loadsPerMinute;
    return { granted: true };
  }
}
