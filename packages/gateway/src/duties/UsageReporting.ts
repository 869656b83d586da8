import type { DutyBoard, DutyNotes } from '@jujubecroft/decisions';
import { decideUsage, withReported } from '@jujubecroft/decisions';

import type { GatewayContext } from '../GatewayContext.js';
import type { DutyPlatform } from '../ports/DutyPorts.js';
import type { DutyCalls } from './DutyCalls.js';
import type { DutyLeaseKeeper } from './DutyLeaseKeeper.js';

/**
 * Determines the usage of the fleet and reports it while this instance holds the
 * duties.
 */
export class UsageReporting {
  #isRunning = false;
  #acquiredMs = -Infinity;

  constructor(
    private readonly context: GatewayContext,
    private readonly duties: DutyBoard,
    private readonly platform: DutyPlatform,
    private readonly calls: DutyCalls,
    private readonly keeper: DutyLeaseKeeper,
  ) {}

  /** Records that this instance has acquired the duties. */
  onAcquired(): void {
    this.#acquiredMs = this.context.clock();
  }

  /** @returns the notes, with the usage of a window added if it can be decided now */
  decide(notes: DutyNotes): DutyNotes {
    const { duties, context } = this;
    const { windowMs, lateMs } = duties.settings;
    const decided = decideUsage(notes, {
      nowUnixMs: duties.fleetClock.nowMs,
      windowMs,
      lateMs,
      heldForMs: context.clock() - this.#acquiredMs,
      live: context.membership.instances,
      collector: duties.collector,
      knownDecidedThrough: duties.latestHolding?.decidedThrough ?? -1,
    });
    const usage = decided.decided.at(-1);
    if (usage && decided.decided.length > notes.decided.length) {
      context.log.write('usageDecided', {
        window: usage.window,
        requests: Object.values(usage.counts).reduce((a, b) => a + b, 0),
        afterMs: Math.round(
          duties.fleetClock.nowMs - (usage.window + 1) * windowMs,
        ),
      });
    }
    return decided;
  }

  /**
   * Reports the oldest window whose usage is decided and known to be in the store.
   *
   * @param notes - the current notes
   * @returns a function that records the report in the notes; null if none was accepted
   */
  async step(
    notes: DutyNotes,
  ): Promise<((notes: DutyNotes) => DutyNotes) | null> {
    const usage = this.keeper.confirmedNotes.decided.find(
      ({ window }) => window > (notes.reportedThrough ?? -1),
    );
    if (!usage || this.#isRunning) {
      return null;
    }
    this.#isRunning = true;
    try {
      const answer = await this.calls.run('usage', caller =>
        this.platform.reportUsage(caller, usage),
      );
      if (answer === 'refused') {
        // The platform has seen a higher token, so another instance holds the duties.
        this.keeper.invalidate();
      }
      if (answer !== 'accepted') {
        return null;
      }
      this.context.log.write('usageReported', { window: usage.window });
      return before => withReported(before, usage.window);
    } finally {
      this.#isRunning = false;
    }
  }
}
