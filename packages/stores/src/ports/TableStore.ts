/** One row of the platform's table. */
export interface Row {
  readonly key: string;
  readonly value: unknown;
  /** Increases with every write of the row. */
  readonly version: number;
}

/** One conditional write of a transaction. */
export interface TableWrite {
  readonly key: string;
  /** `null` deletes the row. */
  readonly value: unknown;
  /** Version that the row must have; 0 if it must not exist, omitted for any. */
  readonly ifVersion?: number;
}

/** Success, or the first row that did not have the expected version. */
export type TransactResult =
  | {
      readonly conflict: Row | null;
      readonly conflictKey: string;
      readonly ok: false;
    }
  | { readonly ok: true };

/** Options of a scan. */
export interface ScanOptions {
  readonly prefix: string;
  /** Returns only keys that sort after this one. */
  readonly after?: string;
  readonly limit?: number;
}

/**
 * The platform's transactional table.
 *
 * Any call may fail with `platformUnavailable`. A failed `transact` may have taken
 * effect nevertheless; callers find out by reading the rows that they wrote.
 */
export interface TableStore {
  readonly get: (key: string) => Promise<Row | null>;
  readonly scan: (options: ScanOptions) => Promise<readonly Row[]>;
  readonly transact: (writes: readonly TableWrite[]) => Promise<TransactResult>;
}
