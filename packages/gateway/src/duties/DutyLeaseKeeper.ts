import type { DutyBoard, DutyNotes, HolderId } from '@jujubecroft/decisions';
import {
  HolderLease,
  toHoldingNews,
  recordHolding,
  rankOf,
} from '@jujubecroft/decisions';
import { brand } from '@jujubecroft/types';

import type { GatewayContext } from '../GatewayContext.js';
import type { HoldingStore } from '../ports/DutyPorts.js';
import { createSuspensionDetector } from '../wakeUpWatch.js';

/** Value of the `call` label under which the calls are counted in the metrics. */
const STORE_CALL_LABEL = 'holding';
/** Maximum number of steps without a delay: a read, a write, and a read after it. */
const MAX_CONSECUTIVE_STEPS = 3;
/**
 * Delay after a failed store call, in milliseconds. It grows with the instance's rank,
 * to limit the load on a store that is unavailable.
 */
const RETRY_DELAY_MS = 300;
const RETRY_DELAY_PER_RANK_MS = 250;
const MAX_RETRY_DELAY_MS = 10_000;

/** Callbacks for changes of who holds the duties. */
export interface HoldingListener {
  /**
   * Called when this instance has acquired the duties, with the notes that the former
   * holder left in the store.
   */
  readonly onAcquired: (notes: DutyNotes) => void;
  /**
   * Called when peers should learn soon that the duties changed hands or were released.
   */
  readonly onHoldingChanged: () => void;
}

/**
 * Acquires, renews and releases the lease on the duties, which is a row in the store.
 *
 * `HolderLease` decides on each step; this class carries it out.
 */
export class DutyLeaseKeeper {
  readonly #lease: HolderLease;
  readonly #suspendedMs: () => number;
  #isRunning = false;
  #wasHolder = false;
  #pausedUntilMs = -Infinity;

  constructor(
    private readonly context: GatewayContext,
    private readonly duties: DutyBoard,
    private readonly store: HoldingStore,
    private readonly listener: HoldingListener,
  ) {
    const { settings, clock, router } = context;
    const { instance, peerAddress } = settings;
    this.#lease = new HolderLease({
      holder: brand<HolderId>(`${instance}@${peerAddress}`),
      instance,
      leaseMs: duties.settings.leaseMs,
      clock,
      storeClock: router.board.storeClock,
    });
    this.#suspendedMs = createSuspensionDetector(
      clock,
      duties.fleetClock.timeOfDay,
    );
  }

  /** Fencing token for calls; null if this instance doesn't hold the duties. */
  get token(): number | null {
    // While the machine was suspended its clock stood still, so the lease may have
    // expired.
    if (this.#suspendedMs() > 0) {
      this.invalidate();
    }
    return this.#lease.token;
  }

  /** The notes for the next holder, as they are known to be in the store. */
  get confirmedNotes(): DutyNotes {
    return this.#lease.confirmedNotes;
  }

  /** Stops acting as the holder until the row has been read again. */
  invalidate(): void {
    this.#lease.invalidate();
  }

  /** Reads the row in the next step, to check whether the duties are still held. */
  verify(): void {
    this.#lease.onOutcomeUnknown();
  }

  /**
   * Takes a new token, so that the platform rejects an earlier call that arrives late.
   */
  requestNewToken(): void {
    this.#lease.requestNewToken();
  }

  /**
   * Carries out the steps that are due.
   *
   * @param notes - notes for the next holder, written if this instance is the holder
   * @param mustRelease - whether this instance must release the duties, or not acquire them
   */
  async step(notes: DutyNotes, mustRelease: boolean): Promise<void> {
    const { clock } = this.context;
    if (this.#isRunning || clock() < this.#pausedUntilMs) {
      return;
    }
    this.#isRunning = true;
    try {
      let steps = 0;
      while (
        steps < MAX_CONSECUTIVE_STEPS &&
        (await this.#runStep(notes, mustRelease))
      ) {
        steps += 1;
      }
    } catch (err) {
      this.#lease.onOutcomeUnknown();
      this.#pausedUntilMs = clock() + this.#retryDelayMs;
      this.#logFailure(err);
    } finally {
      this.#isRunning = false;
      this.#reportTransition();
    }
  }

  get #rank(): number {
    const { self, instances } = this.context.membership;
    return rankOf(self.instance, instances);
  }

  /**
   * Delay after a failed store call, in milliseconds. The holder uses the shortest one,
   * whatever its rank, since it has to renew before its lease ends.
   */
  get #retryDelayMs(): number {
    const rank = this.#lease.token === null ? this.#rank : 0;
    return Math.min(
      MAX_RETRY_DELAY_MS,
      RETRY_DELAY_MS + rank * RETRY_DELAY_PER_RANK_MS,
    );
  }

  /** @returns whether another step may follow without a delay */
  async #runStep(notes: DutyNotes, mustRelease: boolean): Promise<boolean> {
    const { context, duties } = this;
    const { clock, metrics } = context;
    const { token } = this;
    const step = this.#lease.next({
      rank: () => this.#rank,
      latestHolding: duties.latestHolding,
      notes: token === null ? this.confirmedNotes : notes,
      mustRelease,
    });
    if (step.kind === 'idle') {
      return false;
    }
    const askedMs = clock();
    if (step.kind === 'read') {
      const { row, storeMs } = await this.store.read();
      metrics.storeCalls.inc({ call: STORE_CALL_LABEL, result: 'ok' });
      this.#updateStoreClock(storeMs, askedMs);
      this.#lease.onRead(row, storeMs);
      this.#publishHolding();
      return true;
    }
    const written = await this.store.write(step.write);
    metrics.storeCalls.inc({ call: STORE_CALL_LABEL, result: 'ok' });
    if (written.kind === 'refused') {
      this.#lease.onOutcomeUnknown();
      return true;
    }
    this.#updateStoreClock(written.storeMs, askedMs);
    this.#lease.onWritten(step.write, written.version, askedMs);
    this.#publishHolding();
    this.#reportTransition();
    return false;
  }

  #updateStoreClock(storeMs: number, askedMs: number): void {
    this.context.router.board.storeClock.read(storeMs, askedMs);
  }

  /** Records the holding for the messages to peers. */
  #publishHolding(): void {
    const holding = this.#lease.knownHolding;
    if (!holding) {
      return;
    }
    if (recordHolding(this.duties, toHoldingNews(holding))) {
      this.listener.onHoldingChanged();
    }
  }

  /** Logs and reports that this instance has acquired or lost the duties. */
  #reportTransition(): void {
    const { token } = this.#lease;
    const isHolder = token !== null;
    if (isHolder === this.#wasHolder) {
      return;
    }
    this.#wasHolder = isHolder;
    const { log, metrics } = this.context;
    metrics.dutyToken.set(token ?? 0);
    if (isHolder) {
      log.write('dutiesTaken', { token });
      this.listener.onAcquired(this.confirmedNotes);
      return;
    }
    const { instance, token: newest } = this.duties.latestHolding ?? {};
    log.write('dutiesLost', { holder: instance, token: newest });
  }

  #logFailure(err: unknown): void {
    this.context.metrics.storeCalls.inc({
      call: STORE_CALL_LABEL,
      result: 'failed',
    });
    const error = err instanceof Error ? err.message : String(err);
    this.context.log.write('holdingFailed', {
      error,
      held: this.#lease.token !== null,
    });
  }
}
