import type { FailureDomainId, InstanceId } from '@jujubecroft/types';

/** An instance that may write records of streams to the store. */
export interface RecordWriterCandidate {
  readonly id: InstanceId;
  readonly failureDomain: FailureDomainId;
}

/** Largest fleet in which each instance writes its own records. */
const MAX_WRITERS = 24;

/** Whether each instance of a fleet writes its own records. */
export function writesOwnRecords(instances: number): boolean {
  return instances <= MAX_WRITERS;
}

/**
 * Selects the instance that writes the records of streams that begin at another one, so that
 * the calls to the store don't grow with the fleet.
 *
 * @param self - the instance where the streams begin
 * @param others - the other serving instances
 * @returns null if it is the instance itself
 */
export function recordWriterFor<Candidate extends RecordWriterCandidate>(
  self: RecordWriterCandidate,
  others: readonly Candidate[],
): Candidate | null {
  if (writesOwnRecords(others.length + 1)) {
    return null;
  }
  return others
    .filter(({ failureDomain }) => failureDomain === self.failureDomain)
    .reduce<Candidate | null>(
      (first, other) => (other.id < (first ?? self).id ? other : first),
      null,
    );
}
