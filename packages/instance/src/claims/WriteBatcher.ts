import type { Row, TableStore, TableWrite } from '@jujubecroft/stores';

/**
 * Undefined if the write was applied, else the conflicting row (null if the row
 * is absent).
 */
export type WriteOutcome = Row | null | undefined;

interface PendingWrite {
  readonly write: TableWrite;
  readonly resolve: (outcome: WriteOutcome) => void;
  readonly reject: (err: unknown) => void;
}

const MAX_BATCH_WRITES = 64;

/**
 * Batches independent conditional writes into shared transactions.
 *
 * One transaction is in flight at a time. Writes that arrive meanwhile share
 * the next one, so the pause bounds the transaction rate regardless of demand.
 */
export class WriteBatcher {
  readonly #pending: PendingWrite[] = [];
  #isFlushing = false;

  /**
   * @param table - table that is written to
   * @param pauseMs - pause after each batch, in milliseconds
   */
  constructor(
    private readonly table: TableStore,
    private readonly pauseMs: () => number,
  ) {}

  /**
   * Writes one row if its condition holds.
   *
   * @param write - row with its version condition
   * @returns undefined if the row was written, else the conflicting row
   * @throws RouterError `platformUnavailable` if it is unknown whether the row
   *   was written
   */
  write(write: TableWrite): Promise<WriteOutcome> {
    return new Promise((resolve, reject) => {
      this.#pending.push({ write, resolve, reject });
      void this.#flush();
    });
  }

  async #flush(): Promise<void> {
    if (this.#isFlushing) {
      return;
    }
    this.#isFlushing = true;
    while (this.#pending.length > 0) {
      await this.#commit(this.#takeBatch());
      await new Promise(resolve => setTimeout(resolve, this.pauseMs()));
    }
    this.#isFlushing = false;
  }

  /**
   * Takes at most one write per key, so that writes of a batch cannot conflict
   * with each other.
   */
  #takeBatch(): readonly PendingWrite[] {
    const keys = new Set<string>();
    const batch = this.#pending
      .filter(({ write }) => {
        const isFirst = !keys.has(write.key);
        keys.add(write.key);
        return isFirst;
      })
      .slice(0, MAX_BATCH_WRITES);
    const taken = new Set(batch);
    const rest = this.#pending.filter(pending => !taken.has(pending));
    this.#pending.splice(0, this.#pending.length, ...rest);
    return batch;
  }

  /**
   * Commits a batch; after a conflict, retries it without the conflicting
   * write.
   */
  async #commit(batch: readonly PendingWrite[]): Promise<void> {
    if (batch.length === 0) {
      return;
    }
    try {
      const result = await this.table.transact(batch.map(({ write }) => write));
      if (result.ok) {
        batch.forEach(({ resolve }) => {
          resolve(undefined);
        });
        return;
      }
      const { conflictKey, conflict } = result;
      const isConflicting = ({ write }: PendingWrite): boolean =>
        write.key === conflictKey;
      batch.filter(isConflicting).forEach(({ resolve }) => {
        resolve(conflict);
      });
      await this.#commit(batch.filter(pending => !isConflicting(pending)));
    } catch (err) {
      batch.forEach(({ reject }) => {
        reject(err);
      });
    }
  }
}
