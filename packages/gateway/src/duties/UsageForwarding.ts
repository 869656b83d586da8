import type { DutyBoard } from '@jujubecroft/decisions';
import { standbyOf, readersOf } from '@jujubecroft/decisions';
import type { InstanceId } from '@jujubecroft/types';

import type { GatewayContext } from '../GatewayContext.js';

/**
 * Maximum interval between reports of a window that is still open, in milliseconds. It
 * is shorter in a small fleet, where each instance counts a larger part of the requests
 * and a crash loses more.
 */
const OPEN_WINDOW_INTERVAL_MS = 1000;
/** Interval for each instance of the fleet, up to the maximum, in milliseconds. */
const OPEN_WINDOW_INTERVAL_PER_INSTANCE_MS = 25;
/** Interval while the usage of a closed window isn't decided, in milliseconds. */
const UNDECIDED_WINDOW_INTERVAL_MS = 400;
/**
 * Time after a window in which its last requests are still counted, in milliseconds.
 */
const WINDOW_CLOSE_DELAY_MS = 80;

/** Sends the usage counts of this instance to another one. */
export type SendUsage = (to: InstanceId) => void;

/**
 * Sends this instance's usage counts to the holder of the duties and to its deputy, the
 * instance that would take over from it.
 *
 * Counts that an instance hasn't sent are lost if it crashes. Those that only the
 * holder has received are lost if the holder crashes, so the deputy gets them as well.
 */
export class UsageForwarding {
  readonly #sentAtMs = new Map<InstanceId, number>();
  readonly #sentClosedWindow = new Map<InstanceId, number>();

  constructor(
    private readonly context: GatewayContext,
    private readonly duties: DutyBoard,
    private readonly sendUsage: SendUsage,
  ) {}

  /** Sends the counts to each recipient for which they are due. */
  step(): void {
    const { membership, clock } = this.context;
    const { duties } = this;
    const holder = duties.latestHolding?.instance;
    const deputy = standbyOf(duties, readersOf(membership.instances));
    const nowMs = clock();
    const closedWindow = this.#closedWindow;
    [holder, deputy]
      .flatMap(id => id ?? [])
      .filter(id => this.#isDue(id, nowMs, closedWindow))
      .forEach(id => {
        this.#sentAtMs.set(id, nowMs);
        this.#sentClosedWindow.set(id, closedWindow);
        if (id === membership.self.instance) {
          duties.collector.onUsage({
            instance: id,
            incarnation: 0,
            asOfMs: duties.fleetClock.nowMs,
            windows: duties.usage.countsAfter(
              duties.latestHolding?.decidedThrough ?? -1,
            ),
          });
          return;
        }
        this.sendUsage(id);
      });
  }

  /** Number of the last window in which all requests have been counted. */
  get #closedWindow(): number {
    const { fleetClock, usage } = this.duties;
    return usage.windowOf(fleetClock.nowMs - WINDOW_CLOSE_DELAY_MS) - 1;
  }

  get #openWindowIntervalMs(): number {
    const { instances } = this.context.membership;
    return Math.min(
      OPEN_WINDOW_INTERVAL_MS,
      OPEN_WINDOW_INTERVAL_PER_INSTANCE_MS * instances.length,
    );
  }

  #isDue(id: InstanceId, nowMs: number, closed: number): boolean {
    const sinceMs = nowMs - (this.#sentAtMs.get(id) ?? -Infinity);
    if (closed > (this.#sentClosedWindow.get(id) ?? -1)) {
      return true;
    }
    const isDecided =
      closed <= (this.duties.latestHolding?.decidedThrough ?? -1);
    return (
      sinceMs >=
      (isDecided ? this.#openWindowIntervalMs : UNDECIDED_WINDOW_INTERVAL_MS)
    );
  }
}
