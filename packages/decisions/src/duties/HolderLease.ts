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
  LeaseFacts,
  LeaseState,
  LeaseStep,
} from './LeaseState.js';
import { startedAt } from './LeaseState.js';

/** Part of the lease that a holder leaves unused at its end. */
const MARGIN_SHARE = 0.15;
/** Part of the lease after which it is renewed. */
const RENEW_SHARE = 0.3;
/** Part of the lease for which a former holder stays away after another took over. */
const STAY_AWAY_SHARE = 1.5;
/** Time after the end of a lease from which the first candidate looks, in milliseconds. */
const LOOK_AFTER_MS = 200;
/** Each further candidate looks this much later. */
const STAGGER_MS = 200;
const MAX_STAGGER_MS = 3000;
/** Time in which instances meet before the first one looks, in milliseconds. */
const FIRST_LOOK_MS = 1500;

const IDLE: LeaseStep = { kind: 'idle' };
const READ: LeaseStep = { kind: 'read' };

/**
 * Decides who holds the duties that one instance does for all.
 *
 * The row in the store is the only arbiter: it is written under the condition that
 * nobody wrote it since it was read, and with a higher token whenever the holder
 * changes. A holder counts its lease on its own clock, from before the write was
 * sent; others wait for the end on the store's clock, which is never earlier.
 */
export class HolderLease {
  #state: LeaseState;

  /**
   * @param options - who takes part, and the clocks
   * @param state - to go on from; that of an instance that has just started if omitted
   */
  constructor(
    private readonly options: HolderLeaseOptions,
    state: LeaseState = startedAt(options.clock()),
  ) {
    this.#state = state;
  }

  /** All that this instance knows of the lease. */
  get state(): LeaseState {
    return this.#state;
  }

  /** Token with which this instance may act now; null where it may not. */
  get token(): number | null {
    return this.options.clock() < this.#state.heldUntilMs
      ? this.#state.token
      : null;
  }

  /** What the store is known to hold of this holder's notes. */
  get confirmed(): DutyNotes {
    return this.#state.confirmed;
  }

  /** The holding as this instance last saw it in the store; null before. */
  get known(): Holding | null {
    return this.#state.row?.holding ?? null;
  }

  /** Ceases to hold until the store was read again, as after standing still. */
  drop(): void {
    this.#set({ heldUntilMs: -Infinity, mustRead: true, isFresh: false });
  }

  /**
   * Takes a new token with the next write.
   *
   * A call that got no answer may be carried out later; the platform refuses it once
   * it has seen the new token.
   */
  renumber(): void {
    this.#set({ wantsNewToken: true });
  }

  /** Decides what to do next. */
  next(facts: LeaseFacts): LeaseStep {
    const isHeld = this.token !== null;
    if (facts.givesUp) {
      return isHeld && !this.#state.mustRead
        ? this.#release(facts.notes)
        : IDLE;
    }
    if (isHeld) {
      return this.#whileHeld(facts.notes);
    }
    if (this.#state.isFresh) {
      this.#set({ isFresh: false });
      return this.#mayTake() ? this.#take() : IDLE;
    }
    return this.#isLookDue(facts) ? READ : IDLE;
  }

  /**
   * Takes in the row as the store holds it.
   *
   * @param row - as read, or as a refused write was answered
   * @param storeMs - the store's clock then
   */
  onRead(row: HoldingRow, storeMs: number): void {
    const { holding } = row;
    const isOwn =
      holding?.holder === this.options.holder &&
      holding.token === this.#state.token;
    this.#set({
      row,
      readAtStoreMs: storeMs,
      isFresh: true,
      mustRead: false,
      ...(isOwn ? { confirmed: holding.notes } : { heldUntilMs: -Infinity }),
    });
  }

  /**
   * Takes note that a write was done.
   *
   * @param write - that the store has accepted
   * @param version - that the row has now
   * @param sentMs - local time before it was sent
   */
  onWritten({ holding }: HoldingWrite, version: number, sentMs: number): void {
    const { leaseMs } = this.options;
    const { wantsNewToken, token } = this.#state;
    this.#set({
      row: { version, holding },
      isFresh: false,
      confirmed: holding.notes,
      wantsNewToken: wantsNewToken && holding.token === token,
      token: holding.token,
      renewedMs: sentMs,
      heldUntilMs: holding.released
        ? -Infinity
        : sentMs + (1 - MARGIN_SHARE) * leaseMs,
    });
  }

  /** Takes note that it isn't known whether a write was or will be done. */
  onUnanswered(): void {
    this.#set({ mustRead: true });
  }

  #whileHeld(notes: DutyNotes): LeaseStep {
    if (this.#state.mustRead || !this.#state.row) {
      return READ;
    }
    const { clock, leaseMs } = this.options;
    const isDue = clock() - this.#state.renewedMs >= RENEW_SHARE * leaseMs;
    const isNews = notes !== this.#state.confirmed || this.#state.wantsNewToken;
    return isDue || isNews
      ? this.#write(this.#state.token + (this.#state.wantsNewToken ? 1 : 0), {
          former: this.#state.row.holding?.former ?? [],
          notes,
          released: false,
        })
      : IDLE;
  }

  /** Lets the next holder begin at once. */
  #release(notes: DutyNotes): LeaseStep {
    const former = this.#state.row?.holding?.former ?? [];
    return this.#write(this.#state.token, { former, notes, released: true });
  }

  #take(): LeaseStep {
    const before = this.#state.row?.holding ?? null;
    return this.#write((before?.token ?? 0) + 1, {
      former: this.#formerAfter(before),
      notes: before?.notes ?? NO_NOTES,
      released: false,
    });
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

  /** The former holders that must stay away for a while yet. */
  #formerAfter(before: Holding | null): readonly FormerHolder[] {
    const { holder } = this.options;
    if (!before) {
      return [];
    }
    const left = { holder: before.holder, atMs: this.#state.readAtStoreMs };
    return [left, ...before.former].filter(
      former => former.holder !== holder && this.#staysAway(former),
    );
  }

  #staysAway({ atMs }: FormerHolder): boolean {
    const awayMs = STAY_AWAY_SHARE * this.options.leaseMs;
    return this.#state.readAtStoreMs - atMs < awayMs;
  }

  /**
   * Whether the row allows this instance to take over.
   *
   * Guards against a holder that loses the duties and takes them back at once: a call
   * of the one between would lie between two of its own within one lease.
   */
  #mayTake(): boolean {
    const holding = this.#state.row?.holding;
    if (!holding) {
      return true;
    }
    const { holder } = this.options;
    if (holding.holder === holder) {
      return true;
    }
    return (
      this.#state.readAtStoreMs > holding.untilMs &&
      !holding.former.some(
        former => former.holder === holder && this.#staysAway(former),
      )
    );
  }

  #isLookDue({ rank, news }: LeaseFacts): boolean {
    const { clock, storeClock } = this.options;
    const { latestMs } = storeClock;
    const overdueMs = news
      ? latestMs - news.untilMs - LOOK_AFTER_MS
      : clock() - this.#state.startedMs - FIRST_LOOK_MS;
    // The rank is worked out only where it matters, since it takes all instances.
    return (
      overdueMs > 0 &&
      (!news || Number.isFinite(latestMs)) &&
      overdueMs > Math.min(MAX_STAGGER_MS, rank() * STAGGER_MS)
    );
  }

  #set(change: Partial<LeaseState>): void {
    this.#state = { ...this.#state, ...change };
  }
}
