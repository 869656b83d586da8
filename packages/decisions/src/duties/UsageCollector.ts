import type { InstanceId, OrganisationId } from '@jujubecroft/types';

import type { WindowUsage } from './Holding.js';

/** What one run of an instance counted so far. */
export interface ToldUsage {
  readonly instance: InstanceId;
  /** Tells runs of one instance apart. */
  readonly incarnation: number;
  /** Time of day up to which everything is counted, in Unix milliseconds. */
  readonly asOfMs: number;
  readonly windows: readonly WindowUsage[];
}

interface KnownRun {
  readonly windows: Map<number, WindowUsage>;
}

/**
 * Adds up what the instances counted.
 *
 * Each tells its whole count of a window, so a message that is lost or comes twice
 * changes nothing. What an instance told stays when it is gone.
 */
export class UsageCollector {
  readonly #runs = new Map<string, KnownRun>();
  readonly #asOfMs = new Map<InstanceId, number>();

  /** Takes in what an instance tells. */
  onTold({ instance, incarnation, asOfMs, windows }: ToldUsage): void {
    const key = `${instance} ${incarnation}`;
    const run = this.#runs.get(key) ?? {
      windows: new Map<number, WindowUsage>(),
    };
    this.#runs.set(key, run);
    windows.forEach(usage => {
      const known = run.windows.get(usage.window);
      // Messages may overtake each other; counts only grow.
      if (!known || total(usage) >= total(known)) {
        run.windows.set(usage.window, usage);
      }
    });
    const beforeMs = this.#asOfMs.get(instance) ?? -Infinity;
    this.#asOfMs.set(instance, Math.max(beforeMs, asOfMs));
  }

  /**
   * Whether every live instance has told all that it counted before a moment.
   *
   * @param live - live instances
   * @param unixMs - the moment
   */
  isComplete(live: readonly InstanceId[], unixMs: number): boolean {
    return live.every(
      instance => (this.#asOfMs.get(instance) ?? -Infinity) >= unixMs,
    );
  }

  /** @returns the usage of one window over all instances */
  usageOf(window: number): WindowUsage {
    const counts = new Map<OrganisationId, number>();
    this.#runs.forEach(({ windows }) => {
      const told = windows.get(window)?.counts ?? {};
      Object.entries(told).forEach(([name, count]) => {
        const organisation = name as OrganisationId;
        counts.set(organisation, (counts.get(organisation) ?? 0) + count);
      });
    });
    return { window, counts: Object.fromEntries(counts) };
  }

  /** Forgets windows up to one, and runs of which nothing else is known. */
  forget(window: number): void {
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

function total({ counts }: WindowUsage): number {
  return Object.values(counts).reduce((sum, count) => sum + count, 0);
}
