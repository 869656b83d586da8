import type { DutyBoard, DutyNotes } from '@jujubecroft/decisions';
import { NO_NOTES } from '@jujubecroft/decisions';

import type { GatewayContext } from '../GatewayContext.js';
import type { DutyPorts } from '../ports/DutyPorts.js';
import type { CancelTimer } from '../ports/Timers.js';
import type { PeerLoop } from '../state/PeerLoop.js';
import { DutyCalls } from './DutyCalls.js';
import { DutyLeaseKeeper } from './DutyLeaseKeeper.js';
import { ReplicaOrdering } from './ReplicaOrdering.js';
import { UsageReporting } from './UsageReporting.js';
import { UsageForwarding } from './UsageForwarding.js';

/** Interval between checks for work that is due, in milliseconds. */
const STEP_INTERVAL_MS = 100;

/**
 * Performs the duties: tasks that exactly one instance, the holder, does for the fleet.
 *
 * Every instance runs this loop, to take over the duties when needed and to send its
 * usage counts to the holder. Usage reports and replica orders run only at the holder.
 */
export class DutyLoop {
  readonly #keeper: DutyLeaseKeeper;
  readonly #calls: DutyCalls;
  readonly #forwarding: UsageForwarding;
  readonly #reporting: UsageReporting;
  readonly #ordering: ReplicaOrdering;
  #notes: DutyNotes = NO_NOTES;
  #cancelSteps: CancelTimer | null = null;

  constructor(
    private readonly context: GatewayContext,
    private readonly duties: DutyBoard,
    private readonly ports: DutyPorts,
    peers: Pick<PeerLoop, 'spread' | 'sendUsage'>,
  ) {
    const { platform, holding } = ports;
    this.#keeper = new DutyLeaseKeeper(context, duties, holding, {
      onAcquired: notes => {
        this.#notes = notes;
        this.#reporting.onAcquired();
        this.#ordering.takeOver(notes);
      },
      onHoldingChanged: () => {
        peers.spread();
      },
    });
    this.#calls = new DutyCalls(context, this.#keeper);
    this.#forwarding = new UsageForwarding(context, duties, to => {
      peers.sendUsage(to);
    });
    this.#reporting = new UsageReporting(
      context,
      duties,
      platform,
      this.#calls,
      this.#keeper,
    );
    this.#ordering = new ReplicaOrdering(
      context,
      platform,
      this.#calls,
      this.#keeper,
    );
  }

  /** Starts the loop. */
  start(): void {
    this.#cancelSteps = this.context.timers.every(STEP_INTERVAL_MS, () => {
      this.#step();
    });
  }

  /** Stops the loop and closes the connection to the platform. */
  stop(): void {
    this.#cancelSteps?.();
    this.ports.platform.close();
  }

  #step(): void {
    const { context, duties } = this;
    const { settings, fleetClock } = duties;
    fleetClock.keepOnly(context.membership.instances);
    if (settings.reportsUsage) {
      this.#forwarding.step();
    }
    const isHolder = this.#keeper.token !== null;
    if (isHolder && settings.reportsUsage) {
      this.#notes = this.#reporting.decide(this.#notes);
    }
    void this.#keeper.step(
      this.#notes,
      context.leaving || this.#calls.shouldReleaseDuties,
    );
    if (isHolder && settings.reportsUsage) {
      void this.#report();
    }
    if (isHolder && settings.ordersReplicas) {
      void this.#order();
    }
  }

  async #report(): Promise<void> {
    const change = await this.#reporting.step(this.#notes);
    if (change) {
      this.#notes = change(this.#notes);
    }
  }

  async #order(): Promise<void> {
    if (await this.#ordering.step()) {
      const { inForce: orders, needs } = this.#ordering;
      this.#notes = { ...this.#notes, orders, needs };
    }
  }
}
