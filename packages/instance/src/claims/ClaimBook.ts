import type { TableStore, TableWrite } from '@jujubecroft/stores';
import type { IdempotencyKey, OrganisationId } from '@jujubecroft/types';
import { routerError } from '@jujubecroft/types';

import type { WriteOutcome } from './WriteBatcher.js';

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

/** Writes a claim row if its condition holds. */
export type ClaimWriter = (write: TableWrite) => Promise<WriteOutcome>;

interface Abandoned {
  readonly row: string;
  readonly owner: string;
  readonly sinceMs: number;
}

const RELEASE_EVERY_MS = 5000;
/** A write that is still under way somewhere has landed or failed by then. */
const ABANDONED_MS = 60_000;
const MAX_KEPT_BYTES = 8192;
const RETRY_AFTER_MS = 1000;

const keyOf = (organisation: OrganisationId, key: IdempotencyKey): string =>
  `claim/${organisation}/${key}`;

/**
 * Claims for non-idempotent requests, recorded in the platform's table before
 * anything is sent to a backend server.
 *
 * The table's compare-and-set decides who may run a key, whichever instances
 * the repeats reach. See docs/design/at-most-once.md.
 */
export class ClaimBook {
  /** Claims of unknown fate whose requests were refused, to be given back. */
  readonly #abandoned = new Set<Abandoned>();
  #timer: NodeJS.Timeout | null = null;

  /**
   * @param table - where claims are read
   * @param write - writes one row, here or at a collector
   * @param clock - present time in milliseconds
   */
  constructor(
    private readonly table: Pick<TableStore, 'get' | 'transact'>,
    private readonly write: ClaimWriter,
    private readonly clock: () => number,
  ) {}

  /** Gives abandoned claims back from time to time. */
  start(): void {
    this.#timer = setInterval(() => {
      this.releaseAbandoned().catch(() => undefined);
    }, RELEASE_EVERY_MS);
  }

  stop(): void {
    if (this.#timer) {
      clearInterval(this.#timer);
    }
  }

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
      const conflict = await this.write({
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
    await this.write({ key: keyOf(organisation, key), value: claim });
  }

  /** Gives a claim back, because its request certainly did not run. */
  async release(
    organisation: OrganisationId,
    key: IdempotencyKey,
  ): Promise<void> {
    await this.write({ key: keyOf(organisation, key), value: null });
  }

  /** Gives back claims whose fate was unknown when their requests were refused. */
  async releaseAbandoned(): Promise<void> {
    const entries = [...this.#abandoned];
    await Promise.all(entries.map(entry => this.#giveBack(entry)));
  }

  async #giveBack(entry: Abandoned): Promise<void> {
    const { row, owner, sinceMs } = entry;
    const found = await this.table.get(row);
    const isOwn = (found?.value as Claim | undefined)?.owner === owner;
    if (found && isOwn) {
      await this.table.transact([
        { key: row, value: null, ifVersion: found.version },
      ]);
    }
    // A row that is not there yet may still come: its write can be late.
    if (isOwn || this.clock() - sinceMs > ABANDONED_MS) {
      this.#abandoned.delete(entry);
    }
  }

  #judge(conflict: WriteOutcome, owner: string): ClaimResult {
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
    this.#abandoned.add({ row, owner, sinceMs: this.clock() });
    throw routerError(
      'claimUnavailable',
      'The table store did not confirm the claim for the idempotency key.',
      { retryAfterMs: RETRY_AFTER_MS },
    );
  }
}
