import type { ServiceId } from '@jujubecroft/types';

import type { Clock } from '../blackboard/Blackboard.js';

/** Limit on retries to one service, over all instances together. */
export interface RetryBudgetRules {
  /** Average number of retries allowed per request. */
  readonly ratio: number;
  /** Additional retries allowed in each window. */
  readonly extra: number;
  readonly windowMs: number;
}

/**
 * Share of the budget that is used. The remainder covers differences between
 * the windows in which instances count requests and retries and those of an
 * observer.
 */
const USED_BUDGET_SHARE = 0.7;

interface RetryHistory {
  readonly requests: number[];
  readonly retries: number[];
}

function dropOlderThan(times: number[], oldestMs: number): void {
  const firstKept = times.findIndex(time => time >= oldestMs);
  times.splice(0, firstKept === -1 ? times.length : firstKept);
}

/**
 * Limits retries, so that they don't overload a failing service further.
 *
 * Each instance may use the ratio times its own requests plus an equal part of
 * the extra retries, so the parts add up to the whole without coordination. An
 * instance that sees fewer peers than exist would take too large a part; it
 * therefore divides by the largest number of instances that it has seen
 * recently.
 */
export class RetryBudget {
  readonly #services = new Map<ServiceId, RetryHistory>();
  #instances = 1;
  #peakSeenMs = -Infinity;

  constructor(
    private rules: RetryBudgetRules,
    private readonly clock: Clock,
  ) {}

  /** Replaces the rules; what was counted under the former ones still counts. */
  changeRules(rules: RetryBudgetRules): void {
    this.rules = rules;
  }

  /**
   * Updates the number of instances that share the budget, including this one.
   * A lower number takes effect only after two windows.
   */
  onInstances(count: number): void {
    const nowMs = this.clock();
    const isStale = nowMs - this.#peakSeenMs > 2 * this.rules.windowMs;
    if (count >= this.#instances || isStale) {
      this.#instances = Math.max(1, count);
      this.#peakSeenMs = nowMs;
    }
  }

  /** Records a caller's request for a service. */
  onRequest(service: ServiceId): void {
    this.#historyOf(service).requests.push(this.clock());
  }

  /**
   * Returns the number of retries left in this instance's part; may be
   * fractional or negative.
   */
  left(service: ServiceId): number {
    const { requests, retries } = this.#historyOf(service);
    const oldestMs = this.clock() - this.rules.windowMs;
    dropOlderThan(requests, oldestMs);
    dropOlderThan(retries, oldestMs);
    const allowed =
      this.rules.ratio * requests.length + this.rules.extra / this.#instances;
    return USED_BUDGET_SHARE * allowed - retries.length;
  }

  /**
   * Takes one retry out of the budget.
   *
   * @param service - service that the retry goes to
   * @returns whether a retry was left
   */
  take(service: ServiceId): boolean {
    if (this.left(service) < 1) {
      return false;
    }
    this.#historyOf(service).retries.push(this.clock());
    return true;
  }

  #historyOf(service: ServiceId): RetryHistory {
    const existing = this.#services.get(service);
    if (existing) {
      return existing;
    }
    const history: RetryHistory = { requests: [], retries: [] };
    this.#services.set(service, history);
    return history;
  }
}
