/** One row of the platform's table. */
export interface Row {
  readonly key: string;
  readonly value: unknown;
  /** Grows with every write of the row. */
  readonly version: number;
}

/** One write of a transaction with its condition. */
export interface TableWrite {
  readonly key: string;
  /** `null` deletes the row. */
  readonly value: unknown;
  /** Version that the row must have; 0 for absent, omitted for any. */
  readonly ifVersion?: number;
}

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
  /** Only keys behind this one. */
  readonly after?: string;
  readonly limit?: number;
}

/**
 * The platform's transactional table.
 *
 * Every call may fail with `platformUnavailable`. A failed `transact` may have
 * taken effect all the same; callers settle that by reading what they wrote.
 */
export interface TableStore {
  readonly get: (key: string) => Promise<Row | null>;
  readonly scan: (options: ScanOptions) => Promise<readonly Row[]>;
  readonly transact: (writes: readonly TableWrite[]) => Promise<TransactResult>;
}
