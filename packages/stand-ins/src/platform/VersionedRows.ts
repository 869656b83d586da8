/** One revision of a table row. */
export interface VersionedRow {
  readonly table: string;
  readonly key: string;
  /** Base64 of the JSON content; null if this revision removed the row. */
  readonly value: string | null;
  readonly version: number;
}

/** Rows with their history, as copied at some version. */
export interface RowsCopy {
  readonly rows: readonly VersionedRow[];
  readonly version: number;
}

interface Waiter {
  readonly table: string;
  readonly answer: () => void;
}

/**
 * Called for each changed row with its decoded content; null if the row was
 * removed.
 */
export type RowListener = (
  table: string,
  key: string,
  content: unknown,
) => void;

/**
 * Table rows in memory with their history; all tables share one version
 * counter.
 */
export class VersionedRows {
  #rows: VersionedRow[] = [];
  readonly #listeners: RowListener[] = [];
  #waiters: Waiter[] = [];
  #version = 0;
  #keptFrom = 0;
  #expiryTimer: NodeJS.Timeout | null = null;

  /** Version of the latest change of any table. */
  get version(): number {
    return this.#version;
  }

  /**
   * Oldest version from which a reader can resume; earlier history is
   * unavailable.
   */
  get resumableFrom(): number {
    return this.#keptFrom;
  }

  /**
   * Writes a row, then calls the callbacks waiting for the table and all
   * listeners.
   *
   * @param table - table of the row
   * @param key - key of the row
   * @param value - Base64 of the JSON content; null removes the row
   */
  write(table: string, key: string, value: string | null): void {
    this.#version += 1;
    this.#rows.push({ table, key, value, version: this.#version });
    const dueWaiters = this.#waiters.filter(waiter => waiter.table === table);
    this.#waiters = this.#waiters.filter(waiter => waiter.table !== table);
    dueWaiters.forEach(({ answer }) => {
      answer();
    });
    const content: unknown =
      value === null
        ? null
        : JSON.parse(Buffer.from(value, 'base64').toString('utf8'));
    this.#listeners.forEach(listener => {
      listener(table, key, content);
    });
  }

  /** Adds a listener for the changes of all tables. */
  onChange(listener: RowListener): void {
    this.#listeners.push(listener);
  }

  /** Version of a row; 0 if it doesn't exist. */
  versionOf(table: string, key: string): number {
    const row = this.#rows.findLast(
      other => other.table === table && other.key === key,
    );
    return row?.value ? row.version : 0;
  }

  /**
   * @returns the existing rows of a table in their latest version, sorted by
   *   key
   */
  currentRows(table: string): readonly VersionedRow[] {
    const newest = new Map(
      this.#rows.filter(row => row.table === table).map(row => [row.key, row]),
    );
    return [...newest.values()]
      .filter(({ value }) => value !== null)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
  }

  /** @returns all changes of a table after a version, oldest first */
  changesAfter(table: string, version: number): readonly VersionedRow[] {
    return this.#rows.filter(
      row => row.table === table && row.version > version,
    );
  }

  /**
   * Calls back once, at the next change of a table or after a time limit.
   *
   * @param table - table to watch
   * @param waitMs - time limit
   * @param answer - callback
   */
  onNextChange(table: string, waitMs: number, answer: () => void): void {
    const waiter: Waiter = { table, answer };
    this.#waiters.push(waiter);
    setTimeout(() => {
      if (this.#waiters.includes(waiter)) {
        this.#waiters = this.#waiters.filter(other => other !== waiter);
        answer();
      }
    }, waitMs).unref();
  }

  /** Starts a new version and declares the history before it unavailable. */
  compact(): void {
    this.#version += 1;
    this.#keptFrom = this.#version;
  }

  /** Copies the rows, to restore them later. */
  copy(): RowsCopy {
    return { rows: [...this.#rows], version: this.#version };
  }

  /**
   * Replaces the rows by an older copy. Later versions are assigned again, and
   * waiting callbacks are not called.
   */
  restore({ rows, version }: RowsCopy): void {
    this.#rows = [...rows];
    this.#version = version;
  }

  /**
   * From now on, removes rows of a table that were not written for some time.
   *
   * @param table - table whose rows expire
   * @param afterMs - age since the last write at which a row expires
   */
  expireRows(table: string, afterMs: number): void {
    const writtenMs = new Map<string, number>();
    this.onChange((changed, key, content) => {
      if (changed === table && content !== null) {
        writtenMs.set(key, performance.now());
      }
    });
    const expire = (): void => {
      const oldestMs = performance.now() - afterMs;
      [...writtenMs]
        .filter(([, atMs]) => atMs < oldestMs)
        .forEach(([key]) => {
          writtenMs.delete(key);
          this.write(table, key, null);
        });
    };
    this.#expiryTimer = setInterval(expire, afterMs / 4);
  }

  /** Stops the expiry of rows. */
  stop(): void {
    if (this.#expiryTimer) {
      clearInterval(this.#expiryTimer);
    }
  }
}
