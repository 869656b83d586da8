import type { ListedMember, ReplicaRow } from '@jujubecroft/decisions';
import type { RoutingConfiguration } from '@jujubecroft/types';

import type {
  ConditionalTable,
  TableRow,
} from '../duties/createHoldingStore.js';

/** Replica entries and the store version up to which they are current. */
export interface ReplicaRead {
  readonly rows: readonly ReplicaRow[];
  /** Store version, combined with its era. */
  readonly version: number;
  /** Monotonic clock of the store when it responded, in milliseconds. */
  readonly storeMs: number;
}

/**
 * A configuration and the store version from which to watch for the next one.
 */
export interface ConfigurationRead {
  /** Null if there is none, or none that is newer. */
  readonly configuration: RoutingConfiguration | null;
  /** Store version, combined with its era. */
  readonly version: number;
  /** Monotonic clock of the store when it responded, in milliseconds. */
  readonly storeMs: number;
}

/** Rows of a table, with the version and the clock of the store. */
export interface TableRead {
  readonly rows: readonly TableRow[];
  /** Store version, combined with its era. */
  readonly version: number;
  /** Monotonic clock of the store when it responded, in milliseconds. */
  readonly storeMs: number;
}

/** A table whose rows are written once and removed when they have expired. */
export interface ExpiringTable {
  /** Reads all rows. */
  readonly read: () => Promise<TableRead>;
  /**
   * Writes a row and removes others, in one transaction.
   *
   * @param key - key of the row
   * @param content - content of the row, encoded as JSON
   * @param removed - keys of the rows to remove
   * @throws Error if it is unknown whether the transaction was carried out
   */
  readonly replace: (
    key: string,
    content: unknown,
    removed: readonly string[],
  ) => Promise<Pick<TableRead, 'storeMs' | 'version'>>;
}

/**
 * Result of a call for later changes if the store does not have the history that
 * it needs, because it has discarded it or was restored from an older copy; a
 * full read must follow.
 */
export const HISTORY_GONE = 'historyGone';

/**
 * Operations of the store that the gateway uses; every call rejects on failure.
 */
export interface DiscoveryStore {
  readonly readConfiguration: () => Promise<ConfigurationRead>;
  /**
   * Waits up to `waitMs` milliseconds for a configuration newer than version
   * `after`.
   */
  readonly watchConfiguration: (
    after: number,
    waitMs: number,
  ) => Promise<ConfigurationRead | typeof HISTORY_GONE>;
  readonly readReplicas: () => Promise<ReplicaRead>;
  /**
   * Returns the replica entries that changed after version `after`, without
   * waiting.
   */
  readonly changedReplicas: (
    after: number,
  ) => Promise<ReplicaRead | typeof HISTORY_GONE>;
  /** Stores an entry for this instance, so that starting instances find it. */
  readonly announce: (self: ListedMember) => Promise<void>;
  /** Returns the stored entries of all instances. */
  readonly listInstances: () => Promise<readonly ListedMember[]>;
  /** Table that keeps where streams can have begun. */
  readonly streamHistory: ConditionalTable;
  /** Table that keeps where single streams began, while services have several versions. */
  readonly streamRecords: ExpiringTable;
  readonly close: () => void;
}
