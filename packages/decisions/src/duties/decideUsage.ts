import type { InstanceId } from '@jujubecroft/types';

import type { DutyNotes } from './Holding.js';
import { decidedThrough } from './Holding.js';
import type { UsageCollector } from './UsageCollector.js';

/**
 * Time after the end of a window within which late responses may still show that their
 * requests started in it.
 */
const MIN_SETTLE_MS = 1200;
/** Share of the time until a report is due for which missing counts are waited for. */
const MAX_WAIT_SHARE = 0.5;
/** Time that a new holder needs to receive the counts of all live instances. */
const MIN_HELD_MS = 2000;
/** Windows older than this are not reported any more. */
const MAX_BACKLOG_WINDOWS = 6;

/** Inputs of {@link decideUsage}. */
export interface UsageInputs {
  readonly nowUnixMs: number;
  readonly windowMs: number;
  /** Time after the end of a window within which its report is due, in milliseconds. */
  readonly lateMs: number;
  /** How long this instance has held the duties, in milliseconds. */
  readonly heldForMs: number;
  readonly live: readonly InstanceId[];
  readonly collector: UsageCollector;
  /**
   * Last window that any holder is known to have made final; its notes may be lost. -1
   * before the first.
   */
  readonly knownDecidedThrough: number;
}

/**
 * Makes the usage of the next complete window final.
 *
 * Usage is fixed once and stored before it is reported: the platform accepts one count
 * per window, and a later holder must report the same one. A window whose usage was
 * final and is lost is left out rather than counted anew.
 *
 * @param notes - notes of the holder
 * @param inputs - times, live instances and collected usage
 * @returns the updated notes, or the same object if nothing has changed
 */
export function decideUsage(notes: DutyNotes, inputs: UsageInputs): DutyNotes {
  const { nowUnixMs, windowMs, lateMs, heldForMs, live, collector } = inputs;
  const { knownDecidedThrough } = inputs;
  const current = Math.floor(nowUnixMs / windowMs);
  if (notes.reportedThrough === null) {
    return { ...notes, reportedThrough: current - 1 };
  }
  const window = Math.max(
    decidedThrough(notes) + 1,
    knownDecidedThrough + 1,
    current - MAX_BACKLOG_WINDOWS,
  );
  const sinceEndMs = nowUnixMs - (window + 1) * windowMs;
  // A new holder does not have the counts that were sent to its predecessor.
  const hasWaited =
    sinceEndMs >= MAX_WAIT_SHARE * lateMs && heldForMs >= MIN_HELD_MS;
  const isSettled =
    sinceEndMs >= MIN_SETTLE_MS &&
    (hasWaited || collector.isComplete(live, nowUnixMs - sinceEndMs));
  return isSettled
    ? { ...notes, decided: [...notes.decided, collector.usageOf(window)] }
    : notes;
}

/**
 * Marks the usage of a window as reported.
 *
 * @param notes - notes of the holder
 * @param window - window whose report the platform has accepted
 * @returns the notes without the reported usage
 */
export function withReported(notes: DutyNotes, window: number): DutyNotes {
  return {
    ...notes,
    reportedThrough: Math.max(window, notes.reportedThrough ?? window),
    decided: notes.decided.filter(usage => usage.window > window),
  };
}
