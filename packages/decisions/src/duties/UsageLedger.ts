import type { OrganisationId } from '@jujubecroft/types';

import type { WindowUsage } from './Holding.js';

/** Windows that an instance keeps; older ones were reported, or never will be. */
const MAX_WINDOWS = 8;

/** A request whose start is counted. */
export interface CountedRequest {
  /** Null on public routes, which are nobody's usage. */
  readonly organisation: OrganisationId | null;
}

/**
 * Counts the requests of this instance that began to run, by window.
 *
 * Each request counts once, however often it is tried again or resumed.
 */
export class UsageLedger {
  readonly #windows = new Map<number, Map<OrganisationId, number>>();
  readonly #counted = new WeakSet<CountedRequest>();

  /** @param windowMs - length of a window */
  constructor(readonly windowMs: number) {}

  /** @returns the window of a moment in Unix milliseconds */
  windowOf(unixMs: number): number {
    return Math.floor(unixMs / this.windowMs);
  }

  /** Notes that a request began to run, unless that is known. */
  onBegan(request: CountedRequest, unixMs: number): void {
    const { organisation } = request;
    if (organisation === null || this.#counted.has(request)) {
      return;
    }
    this.#counted.add(request);
    const window = this.windowOf(unixMs);
    const counts =
      this.#windows.get(window) ?? new Map<OrganisationId, number>();
    counts.set(organisation, (counts.get(organisation) ?? 0) + 1);
    this.#windows.set(window, counts);
    this.#forget();
  }

  /** @returns what was counted in windows after one, oldest first */
  since(window: number): readonly WindowUsage[] {
    return [...this.#windows]
      .filter(([number]) => number > window)
      .sort(([a], [b]) => a - b)
      .map(([number, counts]) => ({
        window: number,
        counts: Object.fromEntries(counts),
      }));
  }

  #forget(): void {
    const surplus = this.#windows.size - MAX_WINDOWS;
    [...this.#windows.keys()]
      .sort((a, b) => a - b)
      .slice(0, Math.max(0, surplus))
      .forEach(window => this.#windows.delete(window));
  }
}
