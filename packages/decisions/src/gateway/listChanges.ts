import { eraOf, toStoreVersion } from '@jujubecroft/types';

import type { ReplicaChanges, ReplicaRecord } from './ReplicaRecord.js';

/** Returns the version before all others of the same era. */
export function startOfEra(version: number): number {
  return toStoreVersion(eraOf(version), 0);
}

/**
 * Changes selected from a view, without the fields that describe the view as a
 * whole.
 */
export type ChangeSelection = Pick<
  ReplicaChanges,
  'complete' | 'from' | 'records'
>;

/**
 * Lists the changes since a version.
 *
 * @param records - all records of the view
 * @param version - store version that the receiver's view is complete for
 * @param historyFrom - store version from which all changes are known
 * @returns the changes; all entries if earlier changes may be unknown
 */
export function changesSince(
  records: readonly ReplicaRecord[],
  version: number,
  historyFrom: number,
): ChangeSelection {
  const complete = version < historyFrom || version === 0;
  return {
    complete,
    from: complete ? historyFrom : version,
    records: records.filter(
      record =>
        (complete && record.replica !== null) || record.changedAt > version,
    ),
  };
}

/**
 * Lists the newest changes.
 *
 * @param records - all records of the view
 * @param limit - largest number of changes to list
 * @param historyFrom - store version from which all changes are known
 */
export function newestChanges(
  records: readonly ReplicaRecord[],
  limit: number,
  historyFrom: number,
): ChangeSelection {
  const newestFirst = [...records].sort((a, b) => b.changedAt - a.changedAt);
  const from = newestFirst[limit]?.changedAt ?? 0;
  return {
    complete: false,
    from: Math.max(from, historyFrom),
    records: newestFirst
      .slice(0, limit)
      .filter(({ changedAt }) => changedAt > from),
  };
}
