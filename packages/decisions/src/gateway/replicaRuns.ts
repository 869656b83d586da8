import type { Replica } from '@jujubecroft/types';

import type { ReplicaChange, ReplicaRecord } from './ReplicaRecord.js';

type RunStart = Pick<Replica, 'bornMs'>;

/** One run of a replica. */
export type ReplicaRun = Pick<Replica, 'bornMs' | 'id'>;

/**
 * Whether a run of a replica started after the known run under the same id.
 *
 * @param now - the run in an entry
 * @param known - the run known so far
 * @returns false if either start is unknown, since the runs can't be told apart
 *   then
 */
export function isLaterRun(now: RunStart, known: RunStart): boolean {
  return (
    now.bornMs !== null && known.bornMs !== null && now.bornMs > known.bornMs
  );
}

/**
 * Whether an entry under a known id belongs to another run than the known one.
 *
 * A process has one software version, so a new version shows a restart also where the
 * start is unknown.
 *
 * @param now - the replica in an entry
 * @param known - the replica known so far
 */
export function isRestarted(
  now: Pick<Replica, 'bornMs' | 'softwareVersion'>,
  known: Pick<Replica, 'bornMs' | 'softwareVersion'>,
): boolean {
  const hasOtherVersion =
    now.softwareVersion !== null &&
    known.softwareVersion !== null &&
    now.softwareVersion !== known.softwareVersion;
  return isLaterRun(now, known) || hasOtherVersion;
}

/** Whether an entry belongs to a run before the known one. */
export function isEarlierRun(now: RunStart, known: RunStart): boolean {
  return isLaterRun(known, now);
}

/** Whether two pieces of information may refer to the same run of a replica. */
export function isSameRun(a: RunStart, b: RunStart): boolean {
  return !isLaterRun(a, b) && !isLaterRun(b, a);
}

/** Returns the later of two starts; null if neither is known. */
export function latestStartMs(
  now: RunStart,
  known: RunStart | undefined,
): number | null {
  const starts = [now, known].flatMap(run => run?.bornMs ?? []);
  return starts.length > 0 ? Math.max(...starts) : null;
}

function hasSameContent(a: Replica | null, b: Replica | null): boolean {
  if (!a || !b) {
    return a === b;
  }
  // The warm-up time decreases with each heartbeat and does not count as a
  // change.
  return (
    a.service === b.service &&
    a.address === b.address &&
    a.leaving === b.leaving &&
    a.slots === b.slots &&
    a.failureDomain === b.failureDomain &&
    a.softwareVersion === b.softwareVersion &&
    a.bornMs === b.bornMs
  );
}

/**
 * Determines how an entry changes what is known about its replica.
 *
 * @param before - the known record; undefined if there is none
 * @param after - the replica in the new entry
 * @returns the kind of change; null for a heartbeat without changes
 */
export function changeKindOf(
  before: ReplicaRecord | undefined,
  after: Replica,
): ReplicaChange['kind'] | null {
  if (!before?.replica) {
    return 'added';
  }
  if (hasSameContent(before.replica, after) && before.goneAtMs === null) {
    return null;
  }
  if (isLaterRun(after, before) || isRestarted(after, before.replica)) {
    return 'restarted';
  }
  return after.leaving && !before.replica.leaving ? 'leaving' : 'updated';
}
