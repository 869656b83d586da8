import type { RoutingConfiguration } from '@jujubecroft/types';

import type { Clock } from '../blackboard/Blackboard.js';
import type { ConfigurationChanges } from './configurationChanges.js';
import { applyChanges, diffConfigurations } from './configurationChanges.js';

/**
 * Number of changes that are kept. An instance that is further behind receives
 * the whole configuration; at three changes per second, 32 changes cover ten
 * seconds.
 */
const MAX_ENTRIES = 32;

interface HistoryEntry {
  readonly changes: ConfigurationChanges;
  /** Time at which the change was recorded, on the local clock. */
  readonly atMs: number;
}

/**
 * Keeps the newest configuration changes, to update instances that have an
 * earlier version.
 */
export class ConfigurationHistory {
  #entries: readonly HistoryEntry[] = [];
  #recordedMs = -Infinity;

  constructor(private readonly clock: Clock) {}

  /** For how long the newest configuration has been in force here, in milliseconds. */
  get ageMs(): number {
    return this.clock() - this.#recordedMs;
  }

  /**
   * Records a configuration that replaces another one.
   *
   * @param before - the replaced configuration; null for the first one
   * @param after - the new configuration
   * @returns the new configuration, sharing unchanged items with the replaced
   *   one
   */
  record(
    before: RoutingConfiguration | null,
    after: RoutingConfiguration,
  ): RoutingConfiguration {
    this.#recordedMs = this.clock();
    if (!before) {
      return after;
    }
    const changes = diffConfigurations(before, after);
    const kept = { changes, atMs: this.#recordedMs };
    this.#entries = [...this.#entries, kept].slice(-MAX_ENTRIES);
    return applyChanges(before, changes);
  }

  /**
   * Returns the changes since an earlier version.
   *
   * @param version - version that another instance has
   * @returns the changes, oldest first; null if the version is unknown or its
   *   changes are no longer kept
   */
  since(version: number): readonly ConfigurationChanges[] | null {
    const first = this.#entries.findIndex(
      ({ changes }) => changes.from === version,
    );
    return first < 0
      ? null
      : this.#entries.slice(first).map(({ changes }) => changes);
  }

  /**
   * Returns the changes recorded within a period before now, oldest first.
   *
   * @param ms - length of the period, in milliseconds
   */
  recentChanges(ms: number): readonly ConfigurationChanges[] {
    const fromMs = this.clock() - ms;
    return this.#entries
      .filter(({ atMs }) => atMs >= fromMs)
      .map(({ changes }) => changes);
  }
}

/**
 * Applies a sequence of changes to a configuration.
 *
 * @param known - configuration to start from
 * @param changes - changes received from another instance, oldest first; those
 *   before the version of `known` are skipped
 * @returns the resulting configuration; null if no change starts at the version
 *   of `known`
 */
export function applyChangeSequence(
  known: RoutingConfiguration,
  changes: readonly ConfigurationChanges[],
): RoutingConfiguration | null {
  const first = changes.findIndex(({ from }) => from === known.version);
  return first < 0 ? null : changes.slice(first).reduce(applyChanges, known);
}
