import type { InstanceId, OrganisationId } from '@jujubecroft/types';

import type { WindowUsage } from './Holding.js';

/** Usage counted so far by one incarnation of an instance. */
export interface InstanceUsage {
  readonly instance: InstanceId;
  /** Distinguishes successive runs of the same instance. */
  readonly incarnation: number;
  /** Time up to which the counts are complete, in Unix milliseconds. */
  readonly asOfMs: number;
  readonly windows: readonly WindowUsage[];
}

interface RunUsage {
  readonly windows: Map<number, WindowUsage>;
}

/**
 * Aggregates the usage that the instances counted.
 *
 * Each message carries the cumulative counts of a window, so lost and duplicate messages
 * have no effect. The counts of an instance are kept after it has stopped.
 */
export class UsageCollector {
  readonly #runs = new Map<string, RunUsage>();
  readonly #asOfMs = new Map<InstanceId, number>();

  /** Records the usage that an instance sent. */
  onUsage({ instance, incarnation, asOfMs, windows }: InstanceUsage): void {
    const key = `${instance} ${incarnation}`;
    const run = this.#runs.get(key) ?? {
      windows: new Map<number, WindowUsage>(),
    };
    this.#runs.set(key, run);
    windows.forEach(usage => {
      const known = run.windows.get(usage.window);
      // Messages may arrive out of order; counts never decrease.
      if (!known || totalRequests(usage) >= totalRequests(known)) {
        run.windows.set(usage.window, usage);
      }
    });
    const beforeMs = this.#asOfMs.get(instance) ?? -Infinity;
    this.#asOfMs.set(instance, Math.max(beforeMs, asOfMs));
  }

  /**
   * Whether every live instance has sent its complete counts up to a given time.
   *
   * @param live - live instances
   * @param unixMs - the time, in Unix milliseconds
   */
  isComplete(live: readonly InstanceId[], unixMs: number): boolean {
    return live.every(
      instance => (this.#asOfMs.get(instance) ?? -Infinity) >= unixMs,
    );
  }

  /** @returns the usage of one window, summed over all instances */
  usageOf(window: number): WindowUsage {
    const counts = new Map<OrganisationId, number>();
    this.#runs.forEach(({ windows }) => {
      const counted = windows.get(window)?.counts ?? {};
      Object.entries(counted).forEach(([name, count]) => {
        const organisation = name as OrganisationId;
        counts.set(organisation, (counts.get(organisation) ?? 0) + count);
      });
    });
    return { window, counts: Object.fromEntries(counts) };
  }

  /**
   * Discards windows up to and including the given one, and runs that have none left.
   *
   * @param window - index of the last window to discard
   */
  discardThrough(window: number): void {
    this.#runs.forEach(({ windows }, key) => {
      [...windows.keys()]
        .filter(number => number <= window)
        .forEach(number => windows.delete(number));
      if (windows.size === 0) {
        this.#runs.delete(key);
      }
    });
  }
}

function totalRequests({ counts }: WindowUsage): number {
  return Object.values(counts).reduce((sum, count) => sum + count, 0);
}
