import type { DutyBoard } from '@jujubecroft/decisions';
import { deputyOf, readersOf } from '@jujubecroft/decisions';
import type { InstanceId } from '@jujubecroft/types';

import type { GatewayContext } from '../GatewayContext.js';

/**
 * Time between tellings of a window that is not over, in milliseconds. In a small fleet
 * each instance counts a larger part, and more is lost with one that dies.
 */
const OPEN_EVERY_MS = 1000;
const OPEN_EVERY_MS_PER_INSTANCE = 25;
/** The same while a window that is over is not decided. */
const CLOSED_EVERY_MS = 400;
/** Time after a window in which its last starts are counted. */
const CLOSE_AFTER_MS = 80;

/** Tells an instance all that this one counted. */
export type UsageTeller = (to: InstanceId) => void;

/**
 * Tells the holder, and whoever would be the next, what this instance counted.
 *
 * What an instance counted dies with it but for what it told, and what the holder was
 * told dies with that one but for what the next holder was told, too.
 */
export class UsageTelling {
  readonly #toldMs = new Map<InstanceId, number>();
  readonly #toldWindow = new Map<InstanceId, number>();

  constructor(
    private readonly context: GatewayContext,
    private readonly duties: DutyBoard,
    private readonly tell: UsageTeller,
  ) {}

  /** Tells what is due. */
  step(): void {
    const { membership, clock } = this.context;
    const { duties } = this;
    const holder = duties.news?.instance;
    const deputy = deputyOf(duties, readersOf(membership.instances));
    const nowMs = clock();
    [holder, deputy]
      .flatMap(id => id ?? [])
      .filter(id => this.#isDue(id, nowMs))
      .forEach(id => {
        this.#toldMs.set(id, nowMs);
        this.#toldWindow.set(id, this.#closedWindow);
        if (id === membership.self.instance) {
          duties.collector.onTold({
            instance: id,
            incarnation: 0,
            asOfMs: duties.fleetClock.nowMs,
            windows: duties.usage.since(duties.news?.decidedThrough ?? -1),
          });
          return;
        }
        this.tell(id);
      });
  }

  /** The last window that is over. */
  get #closedWindow(): number {
    const { fleetClock, usage } = this.duties;
    return usage.windowOf(fleetClock.nowMs - CLOSE_AFTER_MS) - 1;
  }

  get #openEveryMs(): number {
    const { instances } = this.context.membership;
    return Math.min(
      OPEN_EVERY_MS,
      OPEN_EVERY_MS_PER_INSTANCE * instances.length,
    );
  }

  #isDue(id: InstanceId, nowMs: number): boolean {
    const sinceMs = nowMs - (this.#toldMs.get(id) ?? -Infinity);
    const closed = this.#closedWindow;
    if (closed > (this.#toldWindow.get(id) ?? -1)) {
      return true;
    }
    const isDecided = closed <= (this.duties.news?.decidedThrough ?? -1);
    return sinceMs >= (isDecided ? this.#openEveryMs : CLOSED_EVERY_MS);
  }
}
