import type { ReplicaChanges, ReplicaRecord } from './ReplicaRecord.js';

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
 * @param prunedVersion - store version of the newest change that has been
 *   pruned
 * @returns the changes; all entries if earlier changes may have been pruned
 */
export function changesSince(
  records: readonly ReplicaRecord[],
  version: number,
  prunedVersion: number,
): ChangeSelection {
  const complete = version < prunedVersion || version === 0;
  return {
    complete,
    from: version,
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
 * @param prunedVersion - store version of the newest change that has been
 *   pruned
 */
export function newestChanges(
  records: readonly ReplicaRecord[],
  limit: number,
  prunedVersion: number,
): ChangeSelection {
  const newestFirst = [...records].sort((a, b) => b.changedAt - a.changedAt);
  const from = newestFirst[limit]?.changedAt ?? 0;
  return {
    complete: false,
    from: Math.max(from, prunedVersion),
    records: newestFirst
      .slice(0, limit)
      .filter(({ changedAt }) => changedAt > from),
  };
}
