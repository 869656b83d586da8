import type { WeightGrant } from '@jujubecroft/stores';

const MS_PER_MINUTE = 60_000;

/** Grants weight loads at a bounded rate. */
export class WeightGate {
  #nextAtMs = 0;

  constructor(private readonly loadsPerMinute: number) {}

  request(nowMs: number): WeightGrant {
    if (nowMs < this.#nextAtMs) {
      return { granted: false, retryAfterMs: this.#nextAtMs - nowMs };
    }
    this.#nextAtMs = nowMs + MS_PER_MINUTE / this.loadsPerMinute;
    return { granted: true };
  }
}
