import type { InstanceId } from '@jujubecroft/types';

import type { DutyNotes } from './Holding.js';
import { decidedThrough } from './Holding.js';
import type { UsageCollector } from './UsageCollector.js';

/** Time after a window in which answers still tell when their requests began. */
const SETTLE_MS = 1200;
/** Part of the time until a report is due that is waited for instances without a sign. */
const WAIT_SHARE = 0.5;
/** Time in which all that live have told a new holder what they counted. */
const HEARD_MS = 2000;
/** Windows after which a report is of no use any more. */
const MAX_BEHIND = 6;

/** What the decision on usage depends on. */
export interface UsageFacts {
  readonly nowUnixMs: number;
  readonly windowMs: number;
  /** Time after the end of a window in which its report is due. */
  readonly lateMs: number;
  /** How long this instance has held the duties, in milliseconds. */
  readonly heldForMs: number;
  readonly live: readonly InstanceId[];
  readonly collector: UsageCollector;
}

/**
 * Decides the usage of windows that are over.
 *
 * Decided once, written down and only then reported: the platform takes one count for
 * a window, and a later holder has to say the same.
 *
 * @param notes - of the holder
 * @param facts - what is known now
 * @returns the notes, the same where nothing was decided
 */
export function decideUsage(notes: DutyNotes, facts: UsageFacts): DutyNotes {
  const { nowUnixMs, windowMs, lateMs, heldForMs, live, collector } = facts;
  const current = Math.floor(nowUnixMs / windowMs);
  if (notes.reportedThrough === null) {
    return { ...notes, reportedThrough: current - 1 };
  }
  const window = Math.max(decidedThrough(notes) + 1, current - MAX_BEHIND);
  const sinceEndMs = nowUnixMs - (window + 1) * windowMs;
  // A new holder knows nothing yet of what the one before was told.
  const hasWaited = sinceEndMs >= WAIT_SHARE * lateMs && heldForMs >= HEARD_MS;
  const isSettled =
    sinceEndMs >= SETTLE_MS &&
    (hasWaited || collector.isComplete(live, nowUnixMs - sinceEndMs));
  return isSettled
    ? { ...notes, decided: [...notes.decided, collector.usageOf(window)] }
    : notes;
}

/**
 * Notes that the usage of a window was reported.
 *
 * @param notes - of the holder
 * @param window - that the platform has accepted
 */
export function withReported(notes: DutyNotes, window: number): DutyNotes {
  return {
    ...notes,
    reportedThrough: Math.max(window, notes.reportedThrough ?? window),
    decided: notes.decided.filter(usage => usage.window > window),
  };
}
