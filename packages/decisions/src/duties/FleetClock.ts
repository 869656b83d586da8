import type { InstanceId } from '@jujubecroft/types';

import type { StoreClock } from '../gateway/StoreClock.js';
import { median } from '../util/median.js';

/**
 * The time of day on which the instances agree.
 *
 * The time of day of one instance may jump. The store's clock doesn't, and by how much
 * the two differ is the same for all: the median over the instances is taken, which
 * few clocks that are wrong don't move.
 */
export class FleetClock {
  readonly #offsets = new Map<InstanceId, number>();

  /**
   * @param storeClock - what is known of the store's clock
   * @param timeOfDay - of this instance, in Unix milliseconds
   */
  constructor(
    private readonly storeClock: StoreClock,
    readonly timeOfDay: () => number,
  ) {}

  /**
   * Takes in what another instance's clock showed.
   *
   * @param instance - that told it
   * @param unixMs - its time of day
   * @param storeMs - the store's clock, as it knew it at the same moment
   */
  onPeer(instance: InstanceId, unixMs: number, storeMs: number): void {
    this.#offsets.set(instance, unixMs - storeMs);
  }

  /** Forgets instances that live no longer. */
  keepOnly(live: readonly InstanceId[]): void {
    const alive = new Set(live);
    [...this.#offsets.keys()]
      .filter(instance => !alive.has(instance))
      .forEach(instance => this.#offsets.delete(instance));
  }

  /** The time of day in Unix milliseconds. */
  get nowMs(): number {
    const ownMs = this.timeOfDay();
    const storeMs = this.storeClock.latestMs;
    if (!Number.isFinite(storeMs)) {
      return ownMs;
    }
    return storeMs + median([ownMs - storeMs, ...this.#offsets.values()]);
  }
}
