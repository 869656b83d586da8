import type { Row, TableStore, TableWrite } from '@jujubecroft/platform';
import type { IdempotencyKey, OrganisationId } from '@jujubecroft/types';
import { routerError } from '@jujubecroft/types';

/** A reply as it is kept for repeats. */
export interface StoredReply {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly bodyBase64: string;
}

/** Row that stands for one non-idempotent request. */
interface Claim {
  /** Unique per attempt to claim, so that a lost reply can be settled. */
  readonly owner: string;
  readonly state: 'claimed' | 'done';
  readonly reply: StoredReply | null;
}

/** Outcome of a claim. */
export type ClaimResult =
  | { readonly kind: 'claimed' }
  | { readonly kind: 'done'; readonly reply: StoredReply | null }
  | { readonly kind: 'inProgress' };

interface Pending {
  readonly write: TableWrite;
  readonly resolve: (conflict: Row | null | undefined) => void;
  readonly reject: (err: unknown) => void;
}

const MAX_BATCH = 64;
const MAX_KEPT_BYTES = 8192;
const RETRY_AFTER_MS = 1000;

const keyOf = (organisation: OrganisationId, key: IdempotencyKey): string =>
  `claim/${organisation}/${key}`;

/**
 * Claims for non-idempotent requests, recorded in the platform's table before
 * anything is sent to a backend server.
 *
 * The table's compare-and-set decides who may run a key, whichever instances
 * the repeats reach; claims that arrive while a transaction is under way share
 * the next one. See docs/design/at-most-once.md.
 */
export class ClaimBook {
  readonly #pending: Pending[] = [];
  #busy = false;
  /** Claims that were recorded but not used, to be given back. */
  readonly #abandoned = new Set<string>();

  constructor(
    private readonly table: TableStore,
    private readonly paceMs: () => number,
  ) {}

  /**
   * Claims a key for this request.
   *
   * @param organisation - whose key it is
   * @param key - idempotency key of the caller
   * @param owner - unique id of this very request
   * @returns whether it may run, already ran, or may be running elsewhere
   * @throws RouterError `claimUnavailable` when the table did not confirm; the
   *   request must not be sent on and has certainly not run
   */
  async claim(
    organisation: OrganisationId,
    key: IdempotencyKey,
    owner: string,
  ): Promise<ClaimResult> {
    const row = keyOf(organisation, key);
    const claim: Claim = { owner, state: 'claimed', reply: null };
    try {
      const conflict = await this.#enqueue({
        key: row,
        value: claim,
        ifVersion: 0,
      });
      return this.#judge(conflict, owner);
    } catch {
      return this.#settle(row, owner);
    }
  }

  /** Keeps the reply for repeats; failing to do so is safe, repeats stay refused. */
  async complete(
    organisation: OrganisationId,
    key: IdempotencyKey,
    owner: string,
    reply: StoredReply,
  ): Promise<void> {
    const kept = reply.bodyBase64.length <= MAX_KEPT_BYTES ? reply : null;
    const claim: Claim = { owner, state: 'done', reply: kept };
    await this.#enqueue({ key: keyOf(organisation, key), value: claim });
  }

  /** Gives a claim back, because its request certainly did not run. */
  async release(
    organisation: OrganisationId,
    key: IdempotencyKey,
  ): Promise<void> {
    await this.#enqueue({ key: keyOf(organisation, key), value: null });
  }

  /** Gives back claims whose fate was unknown when their requests were refused. */
  async releaseAbandoned(): Promise<void> {
    const rows = [...this.#abandoned];
    await Promise.all(
      rows.map(async entry => {
        const { row, owner } = JSON.parse(entry) as {
          row: string;
          owner: string;
        };
        const found = await this.table.get(row);
        if (found && (found.value as Claim).owner === owner) {
          await this.table.transact([
            { key: row, value: null, ifVersion: found.version },
          ]);
        }
        this.#abandoned.delete(entry);
      }),
    );
  }

  #judge(conflict: Row | null | undefined, owner: string): ClaimResult {
    if (conflict === undefined) {
      return { kind: 'claimed' };
    }
    const claim = conflict?.value as Claim | undefined;
    if (claim?.owner === owner) {
      return { kind: 'claimed' };
    }
    return claim?.state === 'done'
      ? { kind: 'done', reply: claim.reply }
      : { kind: 'inProgress' };
  }

  /**
   * Finds out whether a claim took effect although its reply was lost: the row
   * carries the owner, which no other request has. If the table cannot be read
   * either, the request is refused and the claim given back later.
   */
  async #settle(row: string, owner: string): Promise<ClaimResult> {
    try {
      const found = await this.table.get(row);
      if (found) {
        return this.#judge(found, owner);
      }
    } catch {
      // Falls through to the refusal below: the fate stays unknown.
    }
    this.#abandoned.add(JSON.stringify({ row, owner }));
    throw routerError(
      'claimUnavailable',
      'The table store did not confirm the claim for the idempotency key.',
      { retryAfterMs: RETRY_AFTER_MS },
    );
  }

  /** @returns undefined when written, else the row that stood in the way */
  #enqueue(write: TableWrite): Promise<Row | null | undefined> {
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
      batch
        .filter(({ write }) => write.key === conflictKey)
        .forEach(({ resolve }) => {
          resolve(conflict);
        });
      await this.#commit(
        batch.filter(({ write }) => write.key !== conflictKey),
      );
    } catch (err) {
      batch.forEach(({ reject }) => {
        reject(err);
      });
    }
  }
}
