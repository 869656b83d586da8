import type { Replica } from '@jujubecroft/types';
import { eraOf, versionInEra } from '@jujubecroft/types';

import type { ReplicaRecord } from './ReplicaRecord.js';
import { isSameRun } from './replicaRuns.js';

/** Whether a version belongs to a later era of the store than a known record. */
function isLaterEra(version: number, known: ReplicaRecord): boolean {
  return eraOf(version) > eraOf(known.rowVersion);
}

/**
 * Whether an entry that is missing in a new era may exist, because the store's
 * copy is older than the entry.
 *
 * Versions continue from the copy, so an entry that was written under a higher
 * version is not in the copy. One with a lower version has been removed.
 *
 * @param known - the record of the era before
 * @param version - store version at which the entry is missing
 */
export function isMissingInCopy(
  known: ReplicaRecord,
  version: number,
): boolean {
  return (
    isLaterEra(version, known) &&
    versionInEra(known.rowVersion) > versionInEra(version)
  );
}

/**
 * How an entry contradicts what was known of the same run.
 *
 * `leaving`: the run was leaving and, by the entry, is not. Leaves are final, so
 * the entry is an earlier report that the store applied late, or belongs to an
 * older copy. `removed`: the entry was removed and exists again in a new era,
 * under a version that the copy may contain.
 *
 * @param known - the record known so far
 * @param replica - the replica in the entry
 * @param rowVersion - store version of the entry
 * @returns the kind; null if there is no contradiction
 */
export function contradictionOf(
  known: ReplicaRecord,
  replica: Replica,
  rowVersion: number,
): 'leaving' | 'removed' | null {
  if (replica.leaving || !isSameRun(replica, known)) {
    return null;
  }
  if (known.replica) {
    return known.replica.leaving ? 'leaving' : null;
  }
  return isLaterEra(rowVersion, known) &&
    versionInEra(rowVersion) < versionInEra(known.rowVersion)
    ? 'removed'
    : null;
}
