import type { BackendServerId, RequestFingerprint } from '@jujubecroft/types';

/** A run of a replica that ended while requests were there. */
export interface CrashedRun {
  readonly id: BackendServerId;
  /** Start of the run in Unix milliseconds; null where that is unknown. */
  readonly bornMs: number | null;
}

/** The same as instances tell it. */
export interface CrashReport extends CrashedRun {
  readonly ageMs: number;
  /** Whether the run was seen to go on after all. */
  readonly goesOn: boolean;
  /** What was lost there and may have ended it. */
  readonly suspects: readonly RequestFingerprint[];
}

/** What one instance tells another of crashes. */
export interface CrashNews {
  readonly crashes: readonly CrashReport[];
  /** Content that was served although it was among the suspects. */
  readonly cleared: readonly RequestFingerprint[];
}

/** What an instance that knows of no crash tells. */
export const NO_CRASH_NEWS: CrashNews = { crashes: [], cleared: [] };

/** The same as an instance remembers it. */
export interface Crash extends CrashedRun {
  /** When it happened, on the local clock. */
  readonly atMs: number;
  /** When this instance learnt the newest of it. */
  toldMs: number;
  goesOn: boolean;
  readonly suspects: Set<RequestFingerprint>;
}

/** What decides how much of each crash is told. */
export interface TellingFacts {
  readonly nowMs: number;
  /** What was learnt since then is told in full. */
  readonly newestMs: number;
  /** Number of the message, for older crashes to take turns. */
  readonly turn: number;
  /** Contents that were lost in more than one crash. */
  readonly repeated: ReadonlySet<RequestFingerprint>;
}

/** Suspects of older crashes in a message, at most. */
const MAX_OLD_TOLD = 16;
/** Crashes that are told in full at once, the newest ones. */
const MAX_FULL_TOLD = 4;

function reportOf(
  { id, bornMs, atMs, goesOn }: Crash,
  suspects: readonly RequestFingerprint[],
  nowMs: number,
): CrashReport {
  return { id, bornMs, ageMs: nowMs - atMs, goesOn, suspects };
}

/** Older crashes, with those suspects first that were there more than once. */
function tellOld(
  old: readonly Crash[],
  { nowMs, turn, repeated }: TellingFacts,
): readonly CrashReport[] {
  const start = turn % Math.max(1, old.length);
  let room = MAX_OLD_TOLD;
  const listed = [...old.slice(start), ...old.slice(0, start)].map(crash => {
    const suspects = [...repeated]
      .filter(content => crash.suspects.has(content))
      .slice(0, room);
    room -= suspects.length;
    return { crash, suspects };
  });
  return listed
    .map(({ crash, suspects }, place) =>
      // One of them in full, as far as there is room.
      place === 0 && room > 0
        ? reportOf(crash, [...crash.suspects].slice(0, MAX_OLD_TOLD), nowMs)
        : reportOf(crash, suspects, nowMs),
    )
    .filter(({ suspects }) => suspects.length > 0);
}

/**
 * What a message tells of crashes: all of the new ones, and a part of the others.
 *
 * @param all - that are remembered, the oldest first
 * @param facts - what is new, and whose turn it is
 */
export function tellCrashes(
  all: readonly Crash[],
  facts: TellingFacts,
): readonly CrashReport[] {
  const fresh = all
    .filter(({ toldMs }) => toldMs >= facts.newestMs)
    .slice(-MAX_FULL_TOLD);
  const old = all.filter(crash => !fresh.includes(crash) && !crash.goesOn);
  return [
    ...fresh.map(crash => reportOf(crash, [...crash.suspects], facts.nowMs)),
    ...tellOld(old, facts),
  ];
}
