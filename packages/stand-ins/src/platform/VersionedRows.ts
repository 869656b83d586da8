/** A row of a table as it was written once. */
export interface VersionedRow {
  readonly table: string;
  readonly key: string;
  /** Base64; null for a removed row. */
  readonly value: string | null;
  readonly version: number;
}

interface Waiting {
  readonly table: string;
  readonly answer: () => void;
}

/** Told of each changed row; the content is null where it was removed. */
export type RowListener = (
  table: string,
  key: string,
  content: unknown,
) => void;

/** Rows in memory with their history, under one counter of versions. */
export class VersionedRows {
  readonly #rows: VersionedRow[] = [];
  readonly #listeners: RowListener[] = [];
  #waiting: Waiting[] = [];
  #version = 0;
  #keptFrom = 0;
  #lapses: NodeJS.Timeout | null = null;

  get version(): number {
    return this.#version;
  }

  /** Version from which on the history is kept. */
  get keptFrom(): number {
    return this.#keptFrom;
  }

  /** Writes a row; a value of null removes it. */
  add(table: string, key: string, value: string | null): void {
    this.#version += 1;
    this.#rows.push({ table, key, value, version: this.#version });
    const due = this.#waiting.filter(waiting => waiting.table === table);
    this.#waiting = this.#waiting.filter(waiting => waiting.table !== table);
    due.forEach(({ answer }) => {
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

  onChange(listener: RowListener): void {
    this.#listeners.push(listener);
  }

  /** Version of a row; 0 where it doesn't exist. */
  versionOf(table: string, key: string): number {
    const row = this.#rows.findLast(
      other => other.table === table && other.key === key,
    );
    return row?.value ? row.version : 0;
  }

  /** @returns the rows of a table that stand, by key */
  standing(table: string): readonly VersionedRow[] {
    const newest = new Map(
      this.#rows.filter(row => row.table === table).map(row => [row.key, row]),
    );
    return [...newest.values()]
      .filter(({ value }) => value !== null)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
  }

  /** @returns every change of a table after a version, oldest first */
  changesAfter(table: string, version: number): readonly VersionedRow[] {
    return this.#rows.filter(
      row => row.table === table && row.version > version,
    );
  }

  /** Does something once a table changes, or when the time is over. */
  whenChanged(table: string, waitMs: number, answer: () => void): void {
    const waiting: Waiting = { table, answer };
    this.#waiting.push(waiting);
    setTimeout(() => {
      if (this.#waiting.includes(waiting)) {
        this.#waiting = this.#waiting.filter(other => other !== waiting);
        answer();
      }
    }, waitMs).unref();
  }

  /** Drops the history of changes. */
  compact(): void {
    this.#version += 1;
    this.#keptFrom = this.#version;
  }

  /** Removes rows of a table that nobody wrote for a while. */
  dropSilent(table: string, afterMs: number): void {
    const writtenMs = new Map<string, number>();
    this.onChange((changed, key, content) => {
      if (changed === table && content !== null) {
        writtenMs.set(key, performance.now());
      }
    });
    const drop = (): void => {
      const oldestMs = performance.now() - afterMs;
      [...writtenMs]
        .filter(([, atMs]) => atMs < oldestMs)
        .forEach(([key]) => {
          writtenMs.delete(key);
          this.add(table, key, null);
        });
    };
    this.#lapses = setInterval(drop, afterMs / 4);
  }

  stop(): void {
    if (this.#lapses) {
      clearInterval(this.#lapses);
    }
  }
}
