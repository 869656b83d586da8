import type { ServiceId } from '@jujubecroft/types';

import type { Clock } from '../blackboard/Blackboard.js';

/** Bound on repeated requests to one service, over all instances together. */
export interface RetryBudgetRules {
  /** Repeats that each request allows for, on average. */
  readonly ratio: number;
  /** Repeats that are allowed besides, in each window. */
  readonly extra: number;
  readonly windowMs: number;
}

/**
 * Share of the budget that is used. The rest covers instances whose window of
 * requests and of repeats are counted at other moments than the observer's.
 */
const USED_SHARE = 0.7;

interface ServiceCounts {
  readonly requests: number[];
  readonly repeats: number[];
}

function dropOlder(times: number[], oldestMs: number): void {
  const firstKept = times.findIndex(time => time >= oldestMs);
  times.splice(0, firstKept === -1 ? times.length : firstKept);
}

/**
 * Bounds retries so that a failing service isn't buried under repeats.
 *
 * Each instance takes its own requests times the ratio and an equal part of the
 * extra, so the parts sum up to the whole without coordination. An instance
 * that sees fewer peers than there are would take too much; it therefore counts
 * the most peers that it saw within a window.
 */
export class RetryBudget {
  readonly #services = new Map<ServiceId, ServiceCounts>();
  #instances = 1;
  #mostSeenMs = -Infinity;

  constructor(
    private readonly rules: RetryBudgetRules,
    private readonly clock: Clock,
  ) {}

  /** Tells how many instances share the budget, this one included. */
  onInstances(count: number): void {
    const nowMs = this.clock();
    const isStale = nowMs - this.#mostSeenMs > 2 * this.rules.windowMs;
    if (count >= this.#instances || isStale) {
      this.#instances = Math.max(1, count);
      this.#mostSeenMs = nowMs;
    }
  }

  /** Notes a caller's request for a service. */
  onRequest(service: ServiceId): void {
    this.#countsOf(service).requests.push(this.clock());
  }

  /** Repeats that are left in this instance's part. */
  left(service: ServiceId): number {
    const { requests, repeats } = this.#countsOf(service);
    const oldestMs = this.clock() - this.rules.windowMs;
    dropOlder(requests, oldestMs);
    dropOlder(repeats, oldestMs);
    const allowed =
      this.rules.ratio * requests.length + this.rules.extra / this.#instances;
    return USED_SHARE * allowed - repeats.length;
  }

  /**
   * Takes one repeat out of the budget.
   *
   * @param service - that the repeat goes to
   * @returns false when none is left
   */
  take(service: ServiceId): boolean {
    if (this.left(service) < 1) {
      return false;
    }
    this.#countsOf(service).repeats.push(this.clock());
    return true;
  }

  #countsOf(service: ServiceId): ServiceCounts {
    const known = this.#services.get(service);
    if (known) {
      return known;
    }
    const counts: ServiceCounts = { requests: [], repeats: [] };
    this.#services.set(service, counts);
    return counts;
  }
}
