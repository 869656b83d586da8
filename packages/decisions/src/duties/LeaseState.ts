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

/** A conditional write of the row. */
export interface HoldingWrite {
  /** Version that the row must have; 0 where it must not exist. */
  readonly expectedVersion: number;
  readonly holding: Holding;
}

/** What the owner of a lease has to do next. */
export type LeaseStep =
  | { readonly kind: 'idle' }
  | { readonly kind: 'read' }
  | { readonly kind: 'write'; readonly write: HoldingWrite };

/** What the next step depends on beside the lease. */
export interface LeaseFacts {
  /** Tells the place of this instance among the live ones, 0 first. */
  readonly rank: () => number;
  /** The newest that is known of the holding; null where nothing is. */
  readonly news: HoldingNews | null;
  /** What a holder wants to hand on; ignored where the lease is not held. */
  readonly notes: DutyNotes;
  /** Whether the instance stops, or can't do the duties any more. */
  readonly givesUp: boolean;
}

export interface HolderLeaseOptions {
  readonly holder: HolderId;
  readonly instance: InstanceId;
  readonly leaseMs: number;
  readonly clock: Clock;
  readonly storeClock: StoreClock;
}

/** What an instance knows of the lease. Times are on its own clock but where told. */
export interface LeaseState {
  readonly startedMs: number;
  /** The row as this instance last saw it; null before. */
  readonly row: HoldingRow | null;
  /** The store's clock when the row was read. */
  readonly readAtStoreMs: number;
  /** Whether the row was read and not acted on yet. */
  readonly isFresh: boolean;
  /** Whether the row may have changed unseen. */
  readonly mustRead: boolean;
  readonly heldUntilMs: number;
  readonly renewedMs: number;
  readonly token: number;
  readonly wantsNewToken: boolean;
  /** What the store is known to hold of the notes. */
  readonly confirmed: DutyNotes;
}

/** @returns what an instance knows that has just started */
export function startedAt(startedMs: number): LeaseState {
  return {
    startedMs,
    row: null,
    readAtStoreMs: -Infinity,
    isFresh: false,
    mustRead: true,
    heldUntilMs: -Infinity,
    renewedMs: -Infinity,
    token: 0,
    wantsNewToken: false,
    confirmed: NO_NOTES,
  };
}
