import type {
  Row,
  ScanOptions,
  TableWrite,
  TransactResult,
} from '@jujubecroft/stores';

/** Transactional key-value table in memory. */
export class Table {
  readonly #rows = new Map<string, Row>();
  #version = 0;

  get(key: string): Row | null {
    return this.#rows.get(key) ?? null;
  }

  /**
   * @returns rows with the prefix and a key after `after`, by key, at most
   *   `limit`
   */
  scan({ prefix, after = '', limit }: ScanOptions): readonly Row[] {
    return [...this.#rows.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1))
      .slice(0, limit);
  }

  /**
   * Applies all writes or none. A write with `ifVersion` requires that version
   * of the row; 0 requires that the row does not exist.
   *
   * @returns success, or the first row whose version did not match
   */
  transact(writes: readonly TableWrite[]): TransactResult {
    const violated = writes.find(
      ({ key, ifVersion }) =>
        ifVersion !== undefined && ifVersion !== this.#versionOf(key),
    );
    if (violated) {
      const { key } = violated;
      return { ok: false, conflict: this.get(key), conflictKey: key };
    }
    writes.forEach(write => {
      this.#apply(write);
    });
    return { ok: true };
  }

  #versionOf(key: string): number {
    return this.#rows.get(key)?.version ?? 0;
  }

  #apply({ key, value }: TableWrite): void {
    this.#version += 1;
    if (value === null) {
      this.#rows.delete(key);
      return;
    }
    this.#rows.set(key, { key, value, version: this.#version });
  }
}
