import type { DutyBoard, DutyNotes } from '@jujubecroft/decisions';
import { decideUsage, withReported } from '@jujubecroft/decisions';

import type { GatewayContext } from '../GatewayContext.js';
import type { DutyPlatform } from '../ports/DutyPorts.js';
import type { DutyCalls } from './DutyCalls.js';
import type { HoldingKeeper } from './HoldingKeeper.js';

/** Decides the usage of the fleet and reports it, while this instance is the holder. */
export class UsageReporting {
  #isAtWork = false;
  #takenMs = -Infinity;

  constructor(
    private readonly context: GatewayContext,
    private readonly duties: DutyBoard,
    private readonly platform: DutyPlatform,
    private readonly calls: DutyCalls,
    private readonly keeper: HoldingKeeper,
  ) {}

  /** Notes that this instance holds the duties from now on. */
  begin(): void {
    this.#takenMs = this.context.clock();
  }

  /** @returns the notes with what is decided now */
  decide(notes: DutyNotes): DutyNotes {
    const { duties, context } = this;
    const { windowMs, lateMs } = duties.settings;
    const decided = decideUsage(notes, {
      nowUnixMs: duties.fleetClock.nowMs,
      windowMs,
      lateMs,
      heldForMs: context.clock() - this.#takenMs,
      live: context.membership.instances,
      collector: duties.collector,
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
   * Reports the oldest window that was decided and written down.
   *
   * @param notes - as they are now
   * @returns what the report makes of the notes
   */
  async step(
    notes: DutyNotes,
  ): Promise<((notes: DutyNotes) => DutyNotes) | null> {
    const usage = this.keeper.confirmed.decided.find(
      ({ window }) => window > (notes.reportedThrough ?? -1),
    );
    if (!usage || this.#isAtWork) {
      return null;
    }
    this.#isAtWork = true;
    try {
      const answer = await this.calls.run('usage', caller =>
        this.platform.reportUsage(caller, usage),
      );
      if (answer === 'refused') {
        // The platform has seen a higher token.
        this.keeper.drop();
      }
      if (answer !== 'accepted') {
        return null;
      }
      this.context.log.write('usageReported', { window: usage.window });
      return before => withReported(before, usage.window);
    } finally {
      this.#isAtWork = false;
    }
  }
}
