import type { BackendServerId, RequestFingerprint } from '@jujubecroft/types';

/** A run of a replica that ended while requests were in progress. */
export interface CrashedRun {
  readonly id: BackendServerId;
  /** Start of the run in Unix milliseconds; null if unknown. */
  readonly bornMs: number | null;
}

/** A crash as instances report it to each other. */
export interface CrashReport extends CrashedRun {
  /** Time since the crash, in milliseconds. */
  readonly ageMs: number;
  /** Whether the run was later seen to continue, which retracts the crash. */
  readonly goesOn: boolean;
  /**
   * Contents of requests that were lost in the crash and may have caused it.
   */
  readonly suspects: readonly RequestFingerprint[];
}

/** What one instance reports to another about crashes. */
export interface CrashNews {
  readonly crashes: readonly CrashReport[];
  /** Contents that were served although they had been suspects. */
  readonly cleared: readonly RequestFingerprint[];
}

/** Message of an instance that knows of no crash. */
export const EMPTY_CRASH_NEWS: CrashNews = { crashes: [], cleared: [] };

/** A crash as an instance remembers it. */
export interface Crash extends CrashedRun {
  /** Time of the crash, on the local clock. */
  readonly atMs: number;
  /** Time at which this instance last learnt something about the crash. */
  updatedAtMs: number;
  goesOn: boolean;
  readonly suspects: Set<RequestFingerprint>;
}

/** Input to the selection of crash reports for a message. */
export interface ReportSelection {
  readonly nowMs: number;
  /** Crashes that were updated since this time are reported in full. */
  readonly freshSinceMs: number;
  /**
   * Number of the message; it decides which older crash is reported in full.
   */
  readonly messageNumber: number;
  /** Contents that were lost in more than one crash. */
  readonly repeated: ReadonlySet<RequestFingerprint>;
}

/**
 * Maximum number of repeated suspects that a message reports of older crashes,
 * and of all suspects of the one that is reported in full.
 */
const MAX_OLD_SUSPECTS = 16;
/** Maximum number of recently updated crashes in a message; the newest are chosen. */
const MAX_FRESH_CRASHES = 4;

function reportOf(
  { id, bornMs, atMs, goesOn }: Crash,
  suspects: readonly RequestFingerprint[],
  nowMs: number,
): CrashReport {
  return { id, bornMs, ageMs: nowMs - atMs, goesOn, suspects };
}

/**
 * Reports older crashes with only those suspects that were lost in more than
 * one crash. The first crash in the rotation is reported in full while there is
 * room.
 */
function selectOldReports(
  old: readonly Crash[],
  { nowMs, messageNumber, repeated }: ReportSelection,
): readonly CrashReport[] {
  const start = messageNumber % Math.max(1, old.length);
  let remaining = MAX_OLD_SUSPECTS;
  const selected = [...old.slice(start), ...old.slice(0, start)].map(crash => {
    const suspects = [...repeated]
      .filter(content => crash.suspects.has(content))
      .slice(0, remaining);
    remaining -= suspects.length;
    return { crash, suspects };
  });
  return selected
    .map(({ crash, suspects }, place) =>
      place === 0 && remaining > 0
        ? reportOf(crash, [...crash.suspects].slice(0, MAX_OLD_SUSPECTS), nowMs)
        : reportOf(crash, suspects, nowMs),
    )
    .filter(({ suspects }) => suspects.length > 0);
}

/**
 * Selects the crash reports of a message: recently updated crashes in full, and
 * a part of the others.
 *
 * @param all - remembered crashes, oldest first
 * @param facts - what counts as recent, and the state of the rotation
 * @returns the reports
 */
export function selectCrashReports(
  all: readonly Crash[],
  facts: ReportSelection,
): readonly CrashReport[] {
  const fresh = all
    .filter(({ updatedAtMs }) => updatedAtMs >= facts.freshSinceMs)
    .slice(-MAX_FRESH_CRASHES);
  const old = all.filter(crash => !fresh.includes(crash) && !crash.goesOn);
  return [
    ...fresh.map(crash => reportOf(crash, [...crash.suspects], facts.nowMs)),
    ...selectOldReports(old, facts),
  ];
}
