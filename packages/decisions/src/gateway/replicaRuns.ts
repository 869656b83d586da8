import type { Replica } from '@jujubecroft/types';

import type { ReplicaChange, ReplicaRecord } from './ReplicaRecord.js';

type Born = Pick<Replica, 'bornMs'>;

/**
 * Whether a replica started again under its id after a run that was known.
 *
 * @param now - the run that an entry tells of
 * @param known - the run known so far
 * @returns false where either start is unknown: then nothing tells runs apart
 */
export function isLaterRun(now: Born, known: Born): boolean {
  return (
    now.bornMs !== null && known.bornMs !== null && now.bornMs > known.bornMs
  );
}

/** Whether an entry speaks of a run before the one known. */
export function isEarlierRun(now: Born, known: Born): boolean {
  return isLaterRun(known, now);
}

/** Whether two statements may speak of the same run of a replica. */
export function isSameRun(a: Born, b: Born): boolean {
  return !isLaterRun(a, b) && !isLaterRun(b, a);
}

/** The later of two starts, where either is known. */
export function newestBorn(now: Born, known: Born | undefined): number | null {
  const starts = [now, known].flatMap(run => run?.bornMs ?? []);
  return starts.length > 0 ? Math.max(...starts) : null;
}

function sameContent(a: Replica | null, b: Replica | null): boolean {
  if (!a || !b) {
    return a === b;
  }
  // The time to warm up shrinks with each heartbeat; it is no news by itself.
  return (
    a.service === b.service &&
    a.address === b.address &&
    a.leaving === b.leaving &&
    a.slots === b.slots &&
    a.failureDomain === b.failureDomain &&
    a.bornMs === b.bornMs
  );
}

/**
 * How an entry changes what is known of its replica.
 *
 * @param before - what was known; undefined where nothing was
 * @param after - the entry
 * @returns null for a heartbeat that brings no news
 */
export function kindOf(
  before: ReplicaRecord | undefined,
  after: Replica,
): ReplicaChange['kind'] | null {
  if (!before?.replica) {
    return 'added';
  }
  if (sameContent(before.replica, after) && before.goneAtMs === null) {
    return null;
  }
  if (isLaterRun(after, before)) {
    return 'restarted';
  }
  return after.leaving && !before.replica.leaving ? 'leaving' : 'updated';
}
