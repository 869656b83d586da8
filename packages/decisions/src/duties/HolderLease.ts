import { eraOf } from '@jujubecroft/types';

import type {
  DutyNotes,
  FormerHolder,
  Holding,
  HoldingRow,
} from './Holding.js';
import { NO_NOTES } from './Holding.js';
import type {
  HolderLeaseOptions,
  HoldingWrite,
  LeaseInputs,
  LeaseState,
  LeaseStep,
} from './LeaseState.js';
import { initialLeaseState } from './LeaseState.js';

/** Share of the lease that the holder leaves unused at its end, as a safety margin. */
const EXPIRY_MARGIN_SHARE = 0.15;
/** Share of the lease after which the holder renews it. */
const RENEW_AFTER_SHARE = 0.3;
/** Time for which a replaced holder must not take over again, as a multiple of the lease. */
const COOLDOWN_SHARE = 1.5;
/** Delay between the end of a lease and the first candidate's read of the row. */
const READ_DELAY_MS = 200;
/** Additional delay of each further candidate, so that they do not all read at once. */
const READ_STAGGER_MS = 200;
const MAX_READ_STAGGER_MS = 3000;
/** Delay of the first read after a start, in which the instances discover each other. */
const FIRST_READ_DELAY_MS = 1500;

/**
 * Number of fencing tokens that each era of the store can have. The tokens of an era
 * are higher than all of earlier eras, including those that a restored store has lost.
 */
const TOKENS_PER_ERA = 1_000_000;

const IDLE: LeaseStep = { kind: 'idle' };
const READ: LeaseStep = { kind: 'read' };

/**
 * Lease by which one instance holds the duties of the fleet.
 *
 * The row in the store is the only arbiter. Every write is conditional on the version
 * that was read, and every change of the holder raises the fencing token. The holder
 * measures its lease on its own clock, from before it sent the write. Other instances
 * wait for the end of the lease on the store's clock, which is never earlier.
 *
 * A store that was restored from an older copy may have lost the latest holder. In a new
 * era, others therefore wait for the length of a lease, in which any lease of an earlier
 * era ends. Only the instance whose own lease has not expired may take the duties on.
 *
 * Performs no I/O: {@link HolderLease.next} returns the next step, and the caller
 * reports its outcome.
 */
export class HolderLease {
  #state: LeaseState;

  /**
   * @param options - identity of this instance, length of the lease, and clocks
   * @param state - state to continue from; that of a newly started instance if omitted
   */
  constructor(
    private readonly options: HolderLeaseOptions,
    state: LeaseState = initialLeaseState(options.clock()),
  ) {
    this.#state = state;
  }

  /** State of the lease as known to this instance. */
  get state(): LeaseState {
    return this.#state;
  }

  /** Fencing token under which this instance may act now; null if it is not the holder. */
  get token(): number | null {
    return this.options.clock() < this.#state.heldUntilMs
      ? this.#state.token
      : null;
  }

  /** Notes of this holder that are known to be in the store. */
  get confirmedNotes(): DutyNotes {
    return this.#state.confirmedNotes;
  }

  /** The holding as last read or written by this instance; null if there is none. */
  get knownHolding(): Holding | null {
    return this.#state.row?.holding ?? null;
  }

  /**
   * Stops holding at once, for example after a process pause. The row is read before the
   * lease is acquired again.
   */
  invalidate(): void {
    this.#update({ heldUntilMs: -Infinity, mustRead: true, isFresh: false });
  }

  /**
   * Requests a new token with the next write.
   *
   * A platform call without an answer may still be executed later. The platform rejects
   * it once it has seen the new token.
   */
  requestNewToken(): void {
    this.#update({ wantsNewToken: true });
  }

  /**
   * Decides the next step.
   *
   * @param inputs - state of the instance and of the fleet
   * @returns the step that the caller is to execute
   */
  next(inputs: LeaseInputs): LeaseStep {
    const isHeld = this.token !== null;
    if (inputs.mustRelease) {
      return isHeld && !this.#state.mustRead
        ? this.#release(inputs.notes)
        : IDLE;
    }
    if (isHeld) {
      return this.#maintain(inputs.notes);
    }
    if (this.#state.isFresh) {
      this.#update({ isFresh: false });
      return this.#mayAcquire() ? this.#acquire(null) : IDLE;
    }
    return this.#isReadDue(inputs) ? READ : IDLE;
  }

  /**
   * Records the row as it is in the store.
   *
   * @param row - result of a read, or the row returned with a rejected write
   * @param storeMs - the store's clock at that moment, in milliseconds
   */
  onRead(row: HoldingRow, storeMs: number): void {
    const { row: known, grantedEra, eraSeenMs } = this.#state;
    if (known && row.era < known.era) {
      this.#update({ mustRead: true });
      return;
    }
    const { holding, era } = row;
    const isOwn =
      holding?.holder === this.options.holder &&
      holding.token === this.#state.token;
    const isUnclaimedEra = holding === null && era > grantedEra;
    this.#update({
      row,
      eraSeenMs: known?.era === era ? eraSeenMs : this.options.clock(),
      readAtStoreMs: storeMs,
      isFresh: true,
      mustRead: false,
      ...(isOwn ? { confirmedNotes: holding.notes } : {}),
      ...(isOwn || isUnclaimedEra ? {} : { heldUntilMs: -Infinity }),
    });
  }

  /**
   * Records that a write was accepted.
   *
   * @param write - the accepted write
   * @param version - new version of the row
   * @param sentMs - local time before the write was sent, in milliseconds
   */
  onWritten(
    { holding, era }: HoldingWrite,
    version: number,
    sentMs: number,
  ): void {
    // The store was restored before it executed the write.
    if (eraOf(version) !== era) {
      this.onOutcomeUnknown();
      return;
    }
    const { leaseMs } = this.options;
    const { wantsNewToken, token } = this.#state;
    this.#update({
      row: { era, version, holding, earlier: null },
      grantedEra: era,
      isFresh: false,
      confirmedNotes: holding.notes,
      wantsNewToken: wantsNewToken && holding.token === token,
      token: holding.token,
      renewedMs: sentMs,
      heldUntilMs: holding.released
        ? -Infinity
        : sentMs + (1 - EXPIRY_MARGIN_SHARE) * leaseMs,
    });
  }

  /** Records that a write has an unknown outcome: it may still be applied later. */
  onOutcomeUnknown(): void {
    this.#update({ mustRead: true });
  }

  #maintain(notes: DutyNotes): LeaseStep {
    if (this.#state.mustRead || !this.#state.row) {
      return READ;
    }
    if (this.#state.row.era > this.#state.grantedEra) {
      return this.#acquire(notes);
    }
    const { clock, leaseMs } = this.options;
    const isDue =
      clock() - this.#state.renewedMs >= RENEW_AFTER_SHARE * leaseMs;
    const isChanged =
      notes !== this.#state.confirmedNotes || this.#state.wantsNewToken;
    return isDue || isChanged
      ? this.#write(this.#state.token + (this.#state.wantsNewToken ? 1 : 0), {
          former: this.#state.row.holding?.former ?? [],
          notes,
          released: false,
        })
      : IDLE;
  }

  /** Releases the lease, so that the next holder can take over at once. */
  #release(notes: DutyNotes): LeaseStep {
    const former = this.#state.row?.holding?.former ?? [];
    return this.#write(this.#state.token, { former, notes, released: true });
  }

  /**
   * Takes the duties over.
   *
   * @param ownNotes - notes of this instance if it holds the lease of an earlier era;
   *   null to continue from those in the store
   */
  #acquire(ownNotes: DutyNotes | null): LeaseStep {
    const { row, token } = this.#state;
    const previous = row?.holding ?? row?.earlier ?? null;
    const firstToken = (row?.era ?? 0) * TOKENS_PER_ERA + 1;
    const ownToken = ownNotes ? token : 0;
    return this.#write(
      Math.max(firstToken, ownToken + 1, (previous?.token ?? 0) + 1),
      {
        former: this.#formerHoldersAfter(previous),
        notes: ownNotes ?? previous?.notes ?? NO_NOTES,
        released: false,
      },
    );
  }

  #write(
    token: number,
    { former, notes, released }: Pick<Holding, 'former' | 'notes' | 'released'>,
  ): LeaseStep {
    const { holder, instance, leaseMs, storeClock } = this.options;
    const latestMs = storeClock.latestMs;
    if (!Number.isFinite(latestMs) || !this.#state.row) {
      return READ;
    }
    return {
      kind: 'write',
      write: {
        era: this.#state.row.era,
        expectedVersion: this.#state.row.version,
        holding: {
          holder,
          instance,
          token,
          untilMs: Math.ceil(latestMs + (released ? 0 : leaseMs)),
          released,
          former,
          notes,
        },
      },
    };
  }

  /** Former holders that must not take over yet, including the one being replaced. */
  #formerHoldersAfter(previous: Holding | null): readonly FormerHolder[] {
    const { holder } = this.options;
    if (!previous) {
      return [];
    }
    const replaced = {
      holder: previous.holder,
      atMs: this.#state.readAtStoreMs,
    };
    return [replaced, ...previous.former].filter(
      former => former.holder !== holder && this.#isCoolingDown(former),
    );
  }

  #isCoolingDown({ atMs }: FormerHolder): boolean {
    const cooldownMs = COOLDOWN_SHARE * this.options.leaseMs;
    return this.#state.readAtStoreMs - atMs < cooldownMs;
  }

  /**
   * Whether the row allows this instance to take over.
   *
   * Guards against a holder that loses the duties and regains them at once: a call of
   * the intermediate holder would fall between two of its own calls within one lease.
   */
  #mayAcquire(): boolean {
    const holding = this.#state.row?.holding;
    if (!holding) {
      return this.#earlierEraWaitMs <= 0;
    }
    const { holder } = this.options;
    if (holding.holder === holder) {
      return true;
    }
    return (
      this.#state.readAtStoreMs > holding.untilMs &&
      !holding.former.some(
        former => former.holder === holder && this.#isCoolingDown(former),
      )
    );
  }

  /**
   * Time until all leases of earlier eras have expired, in milliseconds; 0 or less if
   * they have, or if the row of this era exists.
   */
  get #earlierEraWaitMs(): number {
    const { row, eraSeenMs } = this.#state;
    return row && row.era > 0 && row.holding === null
      ? eraSeenMs + this.options.leaseMs - this.options.clock()
      : 0;
  }

  #isReadDue({ rank, latestHolding }: LeaseInputs): boolean {
    const { clock, storeClock } = this.options;
    const { latestMs } = storeClock;
    const sinceDueMs = latestHolding
      ? latestMs - latestHolding.untilMs - READ_DELAY_MS
      : clock() - this.#state.startedMs - FIRST_READ_DELAY_MS;
    const waitMs = this.#earlierEraWaitMs;
    const overdueMs = waitMs > 0 ? -waitMs : sinceDueMs;
    // The rank is computed last because it takes a pass over all instances.
    return (
      overdueMs > 0 &&
      (!latestHolding || Number.isFinite(latestMs)) &&
      overdueMs > Math.min(MAX_READ_STAGGER_MS, rank() * READ_STAGGER_MS)
    );
  }

  #update(change: Partial<LeaseState>): void {
    this.#state = { ...this.#state, ...change };
  }
}
