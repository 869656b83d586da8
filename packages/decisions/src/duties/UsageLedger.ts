import type { OrganisationId } from '@jujubecroft/types';

import type { WindowUsage } from './Holding.js';

/** Windows that an instance keeps; older ones were reported or are too old to report. */
const MAX_WINDOWS = 8;

/** The part of a request that is needed to count it. */
export interface CountedRequest {
  /** Null for public routes, whose requests are not counted. */
  readonly organisation: OrganisationId | null;
}

/**
 * Counts the requests of this instance that started to run, by window.
 *
 * Each request is counted once, however often it is retried or resumed.
 */
export class UsageLedger {
  readonly #windows = new Map<number, Map<OrganisationId, number>>();
  readonly #countedRequests = new WeakSet<CountedRequest>();

  /** @param windowMs - length of a window, in milliseconds */
  constructor(readonly windowMs: number) {}

  /** @returns the index of the window that contains a time in Unix milliseconds */
  windowOf(unixMs: number): number {
    return Math.floor(unixMs / this.windowMs);
  }

  /**
   * Counts a request that started to run, unless it was counted before.
   *
   * @param request - the request; compared by identity
   * @param unixMs - when it started, in Unix milliseconds
   */
  onStarted(request: CountedRequest, unixMs: number): void {
    const { organisation } = request;
    if (organisation === null || this.#countedRequests.has(request)) {
      return;
    }
    this.#countedRequests.add(request);
    const window = this.windowOf(unixMs);
    const counts =
      this.#windows.get(window) ?? new Map<OrganisationId, number>();
    counts.set(organisation, (counts.get(organisation) ?? 0) + 1);
    this.#windows.set(window, counts);
    this.#evictOldest();
  }

  /** @returns the counts of all windows after the given one, oldest first */
  countsAfter(window: number): readonly WindowUsage[] {
    return [...this.#windows]
      .filter(([number]) => number > window)
      .sort(([a], [b]) => a - b)
      .map(([number, counts]) => ({
        window: number,
        counts: Object.fromEntries(counts),
      }));
  }

  #evictOldest(): void {
    const surplus = this.#windows.size - MAX_WINDOWS;
    [...this.#windows.keys()]
      .sort((a, b) => a - b)
      .slice(0, Math.max(0, surplus))
      .forEach(window => this.#windows.delete(window));
  }
}
