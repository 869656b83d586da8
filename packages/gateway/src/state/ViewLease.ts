import type { GatewayBoard, ViewState } from '@jujubecroft/decisions';
import { determineViewState } from '@jujubecroft/decisions';

import type { Timers } from '../ports/Timers.js';

/** Maximum time for which requests wait for a renewal, in milliseconds. */
const RENEWAL_TIMEOUT_MS = 250;

/**
 * Renews a view that is too old.
 *
 * @returns whether the store answered; the promise never rejects
 */
export type RenewView = () => Promise<boolean>;

/** Whether requests may be placed; if the view is `outdated`, others serve the callers. */
export type ViewLeaseState = 'outdated' | 'usable';

/** Called when requests begin or cease to be placed by an outdated view. */
export type BypassListener = (isBypassed: boolean) => void;

/**
 * Permission to place requests according to this instance's view.
 *
 * Like a lease, it expires unless the view is confirmed to be current. This guards
 * against requests to replicas that announced long ago that they leave: without it, an
 * instance that lacks CPU time, or whose reads fail, would use an outdated view
 * indefinitely. Requests are still placed while the store is unavailable to all
 * instances. If that isn't confirmed, they are refused, since another instance may have a
 * current view and can serve them.
 */
export class ViewLease {
  #renewal: Promise<void> | null = null;
  #renewView: RenewView = () => Promise.resolve(false);
  #onCurrent: () => void = () => undefined;
  #onBypass: BypassListener = () => undefined;
  /** Whether requests are placed by an outdated view. */
  #isBypassed = false;
  /** Whether the view was still outdated after the last renewal. */
  #lastRenewalFailed = false;

  /**
   * @param board - the view
   * @param timers - timers of the instance
   * @param boundMs - returns the time within which a change must take effect, in
   *   milliseconds
   */
  constructor(
    private readonly board: GatewayBoard,
    private readonly timers: Timers,
    private readonly boundMs: () => number,
  ) {}

  /** Sets the function that renews the view. */
  setRenewal(renewView: RenewView): void {
    this.#renewView = renewView;
  }

  /** Sets the function that is called when a bypass begins and when it ends. */
  onBypass(listener: BypassListener): void {
    this.#onBypass = listener;
  }

  /**
   * Determines whether requests may be placed, after a renewal if the lease has
   * expired.
   *
   * If a renewal fails, later calls return without waiting until the view is current
   * again.
   */
  async obtain(): Promise<ViewLeaseState> {
    if (this.#determineState() === 'current') {
      this.#lastRenewalFailed = false;
      this.#setBypassed(false);
      return 'usable';
    }
    if (!this.#lastRenewalFailed) {
      this.#renewal ??= this.#renew();
      await this.#renewal;
    }
    const state = this.#determineState();
    this.#setBypassed(state === 'outage');
    return state === 'current' || state === 'outage' ? 'usable' : 'outdated';
  }

  /** Whether requests may be placed now, without waiting for a renewal. */
  get isUsable(): boolean {
    const state = this.#determineState();
    return (
      state === 'current' || (state === 'outage' && this.#lastRenewalFailed)
    );
  }

  /** Ends the wait for a renewal if the view has become current. */
  onViewUpdated(): void {
    if (this.#renewal && this.#determineState() === 'current') {
      this.#onCurrent();
    }
  }

  #determineState(): ViewState {
    return determineViewState(this.board, this.boundMs());
  }

  #setBypassed(isBypassed: boolean): void {
    if (isBypassed !== this.#isBypassed) {
      this.#isBypassed = isBypassed;
      this.#onBypass(isBypassed);
    }
  }

  async #renew(): Promise<void> {
    const isCurrent = new Promise<void>(resolve => {
      this.#onCurrent = resolve;
    });
    await Promise.race([
      this.#renewView(),
      isCurrent,
      this.timers.sleep(RENEWAL_TIMEOUT_MS),
    ]);
    // An answer that has already arrived is read only after the timers of this turn of
    // the event loop.
    await this.timers.nextTurn();
    this.#lastRenewalFailed = this.#determineState() !== 'current';
    this.#renewal = null;
  }
}
