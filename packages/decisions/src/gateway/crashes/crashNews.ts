import type {
  BackendServerId,
  PromptPartKey,
  RequestFingerprint,
} from '@jujubecroft/types';

import type { PartNews } from './parts/partNews.js';
import { EMPTY_PART_NEWS } from './parts/partNews.js';

/** A run of a replica that ended while requests were in progress. */
export interface CrashedRun {
  readonly id: BackendServerId;
  /** Start of the run in Unix milliseconds; null if unknown. */
  readonly bornMs: number | null;
}

/** What identifies a request that may have caused a crash. */
export interface Suspect {
  readonly content: RequestFingerprint;
  /** Parts of its prompt that other requests may share. */
  readonly parts: readonly PromptPartKey[];
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
  /** Parts of the prompts of these requests. */
  readonly parts: readonly PromptPartKey[];
  /** Those of them that were served after the crash, as far as others asked. */
  readonly servedParts: readonly PromptPartKey[];
}

/** What one instance reports to another about crashes. */
export interface CrashNews extends PartNews {
  readonly crashes: readonly CrashReport[];
  /** Contents that were served although they had been suspects. */
  readonly cleared: readonly RequestFingerprint[];
}

/** Message of an instance that knows of no crash. */
export const EMPTY_CRASH_NEWS: CrashNews = {
  crashes: [],
  cleared: [],
  ...EMPTY_PART_NEWS,
};

/** A crash as an instance remembers it. */
export interface Crash extends CrashedRun {
  /** Time of the crash, on the local clock. */
  readonly atMs: number;
  /** Number of replicas of the service when the crash became known; 0 if unknown. */
  readonly serviceSize: number;
  /** Time at which this instance last learnt something about the crash. */
  updatedAtMs: number;
  goesOn: boolean;
  readonly suspects: Set<RequestFingerprint>;
  readonly parts: Set<PromptPartKey>;
  /** Parts of requests that were served after the crash. */
  readonly servedParts: Set<PromptPartKey>;
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
  /** Prompt parts that are suspect. */
  readonly suspectParts: readonly PromptPartKey[];
  /** Prompt parts that others asked about and that were served. */
  readonly servedParts: readonly PromptPartKey[];
}

/**
 * Maximum number of repeated suspects that a message reports of older crashes,
 * and of all suspects of the one that is reported in full.
 */
const MAX_OLD_SUSPECTS = 16;
/** Maximum number of suspect parts that a message reports of older crashes. */
const MAX_OLD_PARTS = 48;
/** Maximum number of recently updated crashes in a message; the newest are chosen. */
const MAX_FRESH_CRASHES = 4;

/** What a report says of a crash besides the run and its end. */
type ReportContent = Pick<CrashReport, 'parts' | 'servedParts' | 'suspects'>;

function reportOf(
  { id, bornMs, atMs, goesOn }: Crash,
  content: ReportContent,
  nowMs: number,
): CrashReport {
  return { id, bornMs, ageMs: nowMs - atMs, goesOn, ...content };
}

function createFullReport(
  crash: Crash,
  { nowMs, servedParts }: ReportSelection,
): CrashReport {
  const { suspects, parts, servedParts: served } = crash;
  const content = {
    suspects: [...suspects],
    parts: [...parts].filter(part => !served.has(part)),
    servedParts: servedParts.filter(part => served.has(part)),
  };
  return reportOf(crash, content, nowMs);
}

/**
 * Reports older crashes with only those contents that were lost in more than one
 * crash, and only those prompt parts that are suspect or were asked about. The first
 * crash in the rotation is reported with all contents while there is room.
 */
function selectOldReports(
  old: readonly Crash[],
  facts: ReportSelection,
): readonly CrashReport[] {
  const { nowMs, messageNumber, repeated, suspectParts, servedParts } = facts;
  const start = messageNumber % Math.max(1, old.length);
  let remaining = MAX_OLD_SUSPECTS;
  let remainingParts = MAX_OLD_PARTS;
  const selected = [...old.slice(start), ...old.slice(0, start)].map(crash => {
    const suspects = [...repeated]
      .filter(content => crash.suspects.has(content))
      .slice(0, remaining);
    remaining -= suspects.length;
    const parts = suspectParts
      .filter(part => crash.parts.has(part) && !crash.servedParts.has(part))
      .slice(0, remainingParts);
    remainingParts -= parts.length;
    const served = servedParts.filter(part => crash.servedParts.has(part));
    return { crash, content: { suspects, parts, servedParts: served } };
  });
  return selected
    .map(({ crash, content }, place) =>
      reportOf(
        crash,
        place === 0 && remaining > 0
          ? {
              ...content,
              suspects: [...crash.suspects].slice(0, MAX_OLD_SUSPECTS),
            }
          : content,
        nowMs,
      ),
    )
    .filter(
      ({ suspects, parts, servedParts: served }) =>
        suspects.length + parts.length + served.length > 0,
    );
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
    ...fresh.map(crash => createFullReport(crash, facts)),
    ...selectOldReports(old, facts),
  ];
}
