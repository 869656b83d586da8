import type { InstanceId } from '@jujubecroft/types';

import type { StoreClock } from '../gateway/StoreClock.js';
import { median } from '../util/median.js';

/**
 * Wall-clock time on which the instances agree.
 *
 * The wall clock of a single instance may jump, but the store's clock does not. Each
 * instance contributes the offset between its wall clock and the store's clock. The
 * median of these offsets is used, so that a minority of wrong clocks has no effect.
 */
export class FleetClock {
  readonly #offsets = new Map<InstanceId, number>();

  /**
   * @param storeClock - estimate of the store's clock
   * @param timeOfDay - wall clock of this instance, in Unix milliseconds
   */
  constructor(
    private readonly storeClock: StoreClock,
    readonly timeOfDay: () => number,
  ) {}

  /**
   * Records a clock reading of another instance.
   *
   * @param instance - instance that sent the reading
   * @param unixMs - its wall clock, in Unix milliseconds
   * @param storeMs - its estimate of the store's clock at the same moment, in
   *   milliseconds
   */
  onPeer(instance: InstanceId, unixMs: number, storeMs: number): void {
    this.#offsets.set(instance, unixMs - storeMs);
  }

  /** Discards the offsets of all instances that are not in the list. */
  keepOnly(live: readonly InstanceId[]): void {
    const alive = new Set(live);
    [...this.#offsets.keys()]
      .filter(instance => !alive.has(instance))
      .forEach(instance => this.#offsets.delete(instance));
  }

  /**
   * The agreed time in Unix milliseconds, or the wall clock of this instance while the
   * store's clock is unknown.
   */
  get nowMs(): number {
    const ownMs = this.timeOfDay();
    const storeMs = this.storeClock.latestMs;
    if (!Number.isFinite(storeMs)) {
      return ownMs;
    }
    return storeMs + median([ownMs - storeMs, ...this.#offsets.values()]);
  }
}
