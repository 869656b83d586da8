import type { TableStore, TableWrite } from '@jujubecroft/stores';
import type { IdempotencyKey, OrganisationId } from '@jujubecroft/types';
import { routerError } from '@jujubecroft/types';

import type { WriteOutcome } from './WriteBatcher.js';

/** A reply stored to answer repeats of the request. */
export interface StoredReply {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly bodyBase64: string;
}

/** Table row that records one non-idempotent request. */
interface Claim {
  /**
   * Unique id of the claiming request; identifies its claim when the table's
   * reply was lost.
   */
  readonly owner: string;
  readonly state: 'claimed' | 'done';
  readonly reply: StoredReply | null;
}

/** Outcome of an attempt to claim a key. */
export type ClaimResult =
  | { readonly kind: 'claimed' }
  | { readonly kind: 'done'; readonly reply: StoredReply | null }
  | { readonly kind: 'inProgress' };

/** Writes a claim row if its version condition holds. */
export type ClaimWriter = (write: TableWrite) => Promise<WriteOutcome>;

/** A claim that may have been written although its request was refused. */
interface UnconfirmedClaim {
  readonly rowKey: string;
  readonly owner: string;
  readonly refusedAtMs: number;
}

const RELEASE_INTERVAL_MS = 5000;
/**
 * By this age, a claim write that was still in flight has been applied or has
 * failed.
 */
const UNCONFIRMED_TTL_MS = 60_000;
/** Largest reply body that is stored for repeats, in base64 characters. */
const MAX_STORED_BODY_CHARACTERS = 8192;
const RETRY_AFTER_MS = 1000;

const keyOf = (organisation: OrganisationId, key: IdempotencyKey): string =>
  `claim/${organisation}/${key}`;

/**
 * Records claims of idempotency keys in the platform's table before a
 * non-idempotent request is sent to a backend server.
 *
 * The table's compare-and-set decides which request may run under a key, no
 * matter which instances receive repeats of it. See
 * docs/design/at-most-once.md.
 */
export class ClaimStore {
  /** Possibly written claims of refused requests, to be released. */
  readonly #unconfirmed = new Set<UnconfirmedClaim>();
  #releaseTimer: NodeJS.Timeout | null = null;

  /**
   * @param table - table that holds the claims
   * @param write - writes one claim row, directly or through a collector
   * @param clock - current time in milliseconds
   */
  constructor(
    private readonly table: Pick<TableStore, 'get' | 'transact'>,
    private readonly write: ClaimWriter,
    private readonly clock: () => number,
  ) {}

  /** Starts the periodic release of unconfirmed claims. */
  start(): void {
    this.#releaseTimer = setInterval(() => {
      this.releaseUnconfirmed().catch(() => undefined);
    }, RELEASE_INTERVAL_MS);
  }

  stop(): void {
    if (this.#releaseTimer) {
      clearInterval(this.#releaseTimer);
    }
  }

  /**
   * Claims an idempotency key for one request.
   *
   * @param organisation - organisation of the caller
   * @param key - idempotency key sent by the caller
   * @param owner - unique id of the request
   * @returns whether the request may run, already ran, or may be running
   *   elsewhere
   * @throws RouterError `claimUnavailable` if the table did not confirm the
   *   claim; the request has not run and must not be forwarded
   */
  async claim(
    organisation: OrganisationId,
    key: IdempotencyKey,
    owner: string,
  ): Promise<ClaimResult> {
    const row = keyOf(organisation, key);
    const claim: Claim = { owner, state: 'claimed', reply: null };
    try {
      const conflict = await this.write({
        key: row,
        value: claim,
        ifVersion: 0,
      });
      return this.#toResult(conflict, owner);
    } catch {
      return this.#resolveUnconfirmed(row, owner);
    }
  }

  /**
   * Marks the request as done and stores its reply unless that is too large.
   *
   * A failed write is safe: the claim remains and repeats are refused.
   */
  async complete(
    organisation: OrganisationId,
    key: IdempotencyKey,
    owner: string,
    reply: StoredReply,
  ): Promise<void> {
    const kept =
      reply.bodyBase64.length <= MAX_STORED_BODY_CHARACTERS ? reply : null;
    const claim: Claim = { owner, state: 'done', reply: kept };
    await this.write({ key: keyOf(organisation, key), value: claim });
  }

  /** Releases the claim of a request that did not run. */
  async release(
    organisation: OrganisationId,
    key: IdempotencyKey,
  ): Promise<void> {
    await this.write({ key: keyOf(organisation, key), value: null });
  }

  /** Releases claims that were unconfirmed when their requests were refused. */
  async releaseUnconfirmed(): Promise<void> {
    const entries = [...this.#unconfirmed];
    await Promise.all(entries.map(entry => this.#releaseIfOwned(entry)));
  }

  async #releaseIfOwned(entry: UnconfirmedClaim): Promise<void> {
    const { rowKey, owner, refusedAtMs } = entry;
    const found = await this.table.get(rowKey);
    const isOwn = (found?.value as Claim | undefined)?.owner === owner;
    if (found && isOwn) {
      await this.table.transact([
        { key: rowKey, value: null, ifVersion: found.version },
      ]);
    }
    // If there is no row of this owner yet, a delayed write may still create
    // it.
    if (isOwn || this.clock() - refusedAtMs > UNCONFIRMED_TTL_MS) {
      this.#unconfirmed.delete(entry);
    }
  }

  #toResult(conflict: WriteOutcome, owner: string): ClaimResult {
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
   * Determines by a read whether a claim was written although the write failed.
   *
   * The row carries its owner, which is unique to the request. If there is no
   * row or the read fails too, the request is refused and the claim is released
   * later.
   */
  async #resolveUnconfirmed(row: string, owner: string): Promise<ClaimResult> {
    try {
      const found = await this.table.get(row);
      if (found) {
        return this.#toResult(found, owner);
      }
    } catch {
      // It stays unknown whether the claim was written; the request is refused
      // below.
    }
    this.#unconfirmed.add({ rowKey: row, owner, refusedAtMs: this.clock() });
    throw routerError(
      'claimUnavailable',
      'The table store did not confirm the claim for the idempotency key.',
      { retryAfterMs: RETRY_AFTER_MS },
    );
  }
}
