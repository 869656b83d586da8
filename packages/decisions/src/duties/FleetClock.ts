import type { InstanceId } from '@jujubecroft/types';

import type { StoreClock } from '../gateway/StoreClock.js';

/**
 * Wall-clock time on which the instances agree.
 *
 * The wall clock of a single instance may jump, but the store's clock does not. Each
 * instance contributes the offset between its wall clock and the store's clock. The
 * median of these offsets is used, so that a minority of wrong clocks has no effect.
 */
export class FleetClock {
  readonly #offsets = new Map<InstanceId, number>();
  /** The offsets in ascending order; null after one has changed. */
  #sorted: readonly number[] | null = null;

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
    this.#sorted = null;
  }

  /** Discards the offsets of all instances that are not in the list. */
  keepOnly(live: readonly InstanceId[]): void {
    const alive = new Set(live);
    this.#offsets.forEach((_, instance) => {
      if (!alive.has(instance)) {
        this.#offsets.delete(instance);
        this.#sorted = null;
      }
    });
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
    return storeMs + this.#medianWith(ownMs - storeMs);
  }

  /**
   * Lower median of this instance's offset and those of the others. Only the others'
   * are sorted, and only when they change: an idle instance reads the time in each duty
   * step.
   */
  #medianWith(own: number): number {
    this.#sorted ??= [...this.#offsets.values()].sort((a, b) => a - b);
    const middle = Math.floor(this.#sorted.length / 2);
    const below = this.#sorted[middle - 1] ?? -Infinity;
    const above = this.#sorted[middle] ?? Infinity;
    return Math.min(above, Math.max(below, own));
  }
}
