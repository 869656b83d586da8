import type { Row, TableStore, TableWrite } from '@jujubecroft/stores';

/** The row that stood in the way of a write, or undefined when it was written. */
export type WriteOutcome = Row | null | undefined;

interface Pending {
  readonly write: TableWrite;
  readonly resolve: (outcome: WriteOutcome) => void;
  readonly reject: (err: unknown) => void;
}

const MAX_BATCH = 64;

/**
 * Puts independent conditional writes into shared transactions.
 *
 * One transaction is under way at a time; writes that come meanwhile share the
 * next one, so that their number is bounded by the pace, not by the demand.
 */
export class WriteBatcher {
  readonly #pending: Pending[] = [];
  #busy = false;

  /**
   * @param table - where the writes go
   * @param paceMs - pause after each transaction
   */
  constructor(
    private readonly table: TableStore,
    private readonly paceMs: () => number,
  ) {}

  /**
   * Writes one row if its condition holds.
   *
   * @param write - the row with its condition
   * @returns undefined when written, else the row that stood in the way
   * @throws RouterError `platformUnavailable` when its fate is unknown
   */
  write(write: TableWrite): Promise<WriteOutcome> {
    return new Promise((resolve, reject) => {
      this.#pending.push({ write, resolve, reject });
      void this.#drain();
    });
  }

  async #drain(): Promise<void> {
    if (this.#busy) {
      return;
    }
    this.#busy = true;
    while (this.#pending.length > 0) {
      await this.#commit(this.#takeBatch());
      await new Promise(resolve => setTimeout(resolve, this.paceMs()));
    }
    this.#busy = false;
  }

  /** Each key once, so that the writes of a batch do not meet each other. */
  #takeBatch(): readonly Pending[] {
    const keys = new Set<string>();
    const batch = this.#pending
      .filter(({ write }) => {
        const fresh = !keys.has(write.key);
        keys.add(write.key);
        return fresh;
      })
      .slice(0, MAX_BATCH);
    const taken = new Set(batch);
    const rest = this.#pending.filter(pending => !taken.has(pending));
    this.#pending.splice(0, this.#pending.length, ...rest);
    return batch;
  }

  /** Commits a batch; one that meets a conflict goes on without the loser. */
  async #commit(batch: readonly Pending[]): Promise<void> {
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
      const lost = ({ write }: Pending): boolean => write.key === conflictKey;
      batch.filter(lost).forEach(({ resolve }) => {
        resolve(conflict);
      });
      await this.#commit(batch.filter(pending => !lost(pending)));
    } catch (err) {
      batch.forEach(({ reject }) => {
        reject(err);
      });
    }
  }
}
