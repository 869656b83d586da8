import type { BackendServerId, Replica } from '@jujubecroft/types';

/** A replica entry as last seen, with the store version of that information. */
export interface ReplicaRecord {
  readonly id: BackendServerId;
  /** Null once the entry counts as removed. */
  readonly replica: Replica | null;
  /** Store version of the newest row seen for the entry. */
  readonly rowVersion: number;
  /** Store version at which the content last changed. */
  readonly changedAt: number;
  /**
   * Start of the newest run known under this id, in Unix milliseconds; kept
   * when the entry is removed, null if no entry contained it.
   */
  readonly bornMs: number | null;
  /**
   * When a removed entry counts as gone, on the store's clock; until then the
   * replica is still used. Null while the entry exists.
   */
  readonly goneAtMs: number | null;
}

/** An entry as listed by the store. */
export interface ReplicaRow {
  readonly id: BackendServerId;
  readonly rowVersion: number;
  /** Null for a removed entry. */
  readonly replica: Replica | null;
}

/** Changes that one instance sends to another. */
export interface ReplicaChanges {
  readonly version: number;
  /** When the sender's view was current, on the store's clock. */
  readonly asOfMs: number;
  /**
   * Whether the list is complete, so that entries that are not listed don't
   * exist.
   */
  readonly complete: boolean;
  /** Store version after which every change is listed, removals included. */
  readonly from: number;
  readonly records: readonly ReplicaRecord[];
}

/** How a replica changed, from the perspective of request placement. */
export interface ReplicaChange {
  readonly kind:
    'added' | 'gone' | 'leaving' | 'lapsed' | 'restarted' | 'updated';
  readonly id: BackendServerId;
  readonly rowVersion: number;
}
