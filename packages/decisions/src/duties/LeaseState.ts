import type { InstanceId } from '@jujubecroft/types';

import type { Clock } from '../blackboard/Blackboard.js';
import type { StoreClock } from '../gateway/StoreClock.js';
import type {
  DutyNotes,
  HolderId,
  Holding,
  HoldingNews,
  HoldingRow,
} from './Holding.js';
import { NO_NOTES } from './Holding.js';

/** A conditional write of the holding's row. */
export interface HoldingWrite {
  /** Era of the store whose row is written. */
  readonly era: number;
  /** Version that the row must have; 0 if it must not exist. */
  readonly expectedVersion: number;
  readonly holding: Holding;
}

/** Next action of the owner of a `HolderLease`. */
export type LeaseStep =
  | { readonly kind: 'idle' }
  | { readonly kind: 'read' }
  | { readonly kind: 'write'; readonly write: HoldingWrite };

/** Inputs of the next step that are not part of the state of the lease. */
export interface LeaseInputs {
  /** Computes the rank of this instance among the live ones, starting at 0. */
  readonly rank: () => number;
  /** Latest known state of the holding; null if there is none. */
  readonly latestHolding: HoldingNews | null;
  /** Notes that the holder wants to store; ignored if the lease is not held. */
  readonly notes: DutyNotes;
  /** Whether the lease is to be released, because the instance stops or is unable to act. */
  readonly mustRelease: boolean;
}

/** Identity and clocks of an instance that competes for the lease. */
export interface HolderLeaseOptions {
  readonly holder: HolderId;
  readonly instance: InstanceId;
  readonly leaseMs: number;
  readonly clock: Clock;
  readonly storeClock: StoreClock;
}

/**
 * State of the lease as known to one instance. Times are in milliseconds on its own
 * clock unless stated otherwise.
 */
export interface LeaseState {
  readonly startedMs: number;
  /** The row as last read or written by this instance; null before the first read. */
  readonly row: HoldingRow | null;
  /** When the first answer of the row's era was received. */
  readonly eraSeenMs: number;
  /** Era of the store in which the lease was last granted. */
  readonly grantedEra: number;
  /** The store's clock when the row was read. */
  readonly readAtStoreMs: number;
  /** Whether the row was read and has not been acted on yet. */
  readonly isFresh: boolean;
  /** Whether the row may have changed since it was last read or written. */
  readonly mustRead: boolean;
  /** When this instance stops acting as the holder; -Infinity if it is not the holder. */
  readonly heldUntilMs: number;
  /** When the last accepted write was sent. */
  readonly renewedMs: number;
  /** Fencing token of the last accepted write. */
  readonly token: number;
  /** Whether the next write is to take a new token. */
  readonly wantsNewToken: boolean;
  /** Notes that are known to be in the store. */
  readonly confirmedNotes: DutyNotes;
}

/** @returns the state of an instance that started at a given local time */
export function initialLeaseState(startedMs: number): LeaseState {
  return {
    startedMs,
    row: null,
    eraSeenMs: -Infinity,
    grantedEra: 0,
    readAtStoreMs: -Infinity,
    isFresh: false,
    mustRead: true,
    heldUntilMs: -Infinity,
    renewedMs: -Infinity,
    token: 0,
    wantsNewToken: false,
    confirmedNotes: NO_NOTES,
  };
}
