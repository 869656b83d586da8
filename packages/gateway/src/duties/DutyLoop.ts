import type { DutyBoard, DutyNotes } from '@jujubecroft/decisions';
import { NO_NOTES } from '@jujubecroft/decisions';

import type { GatewayContext } from '../GatewayContext.js';
import type { DutyPorts } from '../ports/DutyPorts.js';
import type { CancelTimer } from '../ports/Timers.js';
import type { PeerLoop } from '../state/PeerLoop.js';
import { DutyCalls } from './DutyCalls.js';
import { HoldingKeeper } from './HoldingKeeper.js';
import { ReplicaOrdering } from './ReplicaOrdering.js';
import { UsageReporting } from './UsageReporting.js';
import { UsageTelling } from './UsageTelling.js';

/** Time between looks at what is due, in milliseconds. */
const STEP_MS = 100;

/** Does the duties that one instance does for all, wherever they are held. */
export class DutyLoop {
  readonly #keeper: HoldingKeeper;
  readonly #calls: DutyCalls;
  readonly #telling: UsageTelling;
  readonly #reporting: UsageReporting;
  readonly #ordering: ReplicaOrdering;
  #notes: DutyNotes = NO_NOTES;
  #endSteps: CancelTimer | null = null;

  constructor(
    private readonly context: GatewayContext,
    private readonly duties: DutyBoard,
    private readonly ports: DutyPorts,
    peers: Pick<PeerLoop, 'spread' | 'tellUsage'>,
  ) {
    const { platform, holding } = ports;
    this.#keeper = new HoldingKeeper(context, duties, holding, {
      onTaken: notes => {
        this.#notes = notes;
        this.#reporting.begin();
        this.#ordering.takeOver(notes);
      },
      onNews: () => {
        peers.spread();
      },
    });
    this.#calls = new DutyCalls(context, this.#keeper);
    this.#telling = new UsageTelling(context, duties, to => {
      peers.tellUsage(to);
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

  start(): void {
    this.#endSteps = this.context.timers.every(STEP_MS, () => {
      this.#step();
    });
  }

  stop(): void {
    this.#endSteps?.();
    this.ports.platform.close();
  }

  #step(): void {
    const { context, duties } = this;
    const { settings, fleetClock } = duties;
    fleetClock.keepOnly(context.membership.instances);
    if (settings.reportsUsage) {
      this.#telling.step();
    }
    const isHolder = this.#keeper.token !== null;
    if (isHolder && settings.reportsUsage) {
      this.#notes = this.#reporting.decide(this.#notes);
    }
    void this.#keeper.step(
      this.#notes,
      context.leaving || this.#calls.isCutOff,
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
