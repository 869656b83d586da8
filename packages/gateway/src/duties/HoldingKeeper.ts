import type { DutyBoard, DutyNotes, HolderId } from '@jujubecroft/decisions';
import {
  HolderLease,
  newsOf,
  noteHolding,
  rankOf,
} from '@jujubecroft/decisions';
import { brand } from '@jujubecroft/types';

import type { GatewayContext } from '../GatewayContext.js';
import type { HoldingStore } from '../ports/DutyPorts.js';
import { createWakeUpWatch } from '../wakeUpWatch.js';

/** Name of the calls in the metrics. */
const CALL = 'holding';
/** Steps that may follow each other at once: a read, a write, and a read after it. */
const MAX_STEPS = 3;
/**
 * Pause after a call of the store that failed, in milliseconds. It grows with the rank,
 * so that few press a store that is away.
 */
const FAILED_PAUSE_MS = 300;
const RANK_PAUSE_MS = 250;
const MAX_FAILED_PAUSE_MS = 10_000;

/** What a keeper is told by those who do the duties. */
export interface KeeperListener {
  /** Told that this instance holds the duties from now on. */
  readonly onTaken: (notes: DutyNotes) => void;
  /** Told that others should hear of the holding soon. */
  readonly onNews: () => void;
}

/** Takes, renews and gives up the holding of the duties. */
export class HoldingKeeper {
  readonly #lease: HolderLease;
  readonly #stoodStillMs: () => number;
  #isAtWork = false;
  #wasHolder = false;
  #pausedUntilMs = -Infinity;

  constructor(
    private readonly context: GatewayContext,
    private readonly duties: DutyBoard,
    private readonly store: HoldingStore,
    private readonly listener: KeeperListener,
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
    this.#stoodStillMs = createWakeUpWatch(clock, duties.fleetClock.timeOfDay);
  }

  /** Token to act with; null where this instance doesn't hold the duties. */
  get token(): number | null {
    // A machine that stood still may have lost the lease without its clock showing it.
    if (this.#stoodStillMs() > 0) {
      this.drop();
    }
    return this.#lease.token;
  }

  /** What the store is known to hold for the next holder. */
  get confirmed(): DutyNotes {
    return this.#lease.confirmed;
  }

  /** Reads the store before anything else is done. */
  drop(): void {
    this.#lease.drop();
  }

  /** Reads the store with the next step, to see whether the duties are still held. */
  verify(): void {
    this.#lease.onUnanswered();
  }

  /** Takes a new token, for a call that may be carried out late. */
  renumber(): void {
    this.#lease.renumber();
  }

  /**
   * Does what is due.
   *
   * @param notes - to hand on, where this instance is the holder
   * @param givesUp - whether it must not hold the duties
   */
  async step(notes: DutyNotes, givesUp: boolean): Promise<void> {
    const { clock } = this.context;
    if (this.#isAtWork || clock() < this.#pausedUntilMs) {
      return;
    }
    this.#isAtWork = true;
    try {
      let steps = 0;
      while (steps < MAX_STEPS && (await this.#once(notes, givesUp))) {
        steps += 1;
      }
    } catch (err) {
      this.#lease.onUnanswered();
      this.#pausedUntilMs = clock() + this.#failedPauseMs;
      this.#noteFailure(err);
    } finally {
      this.#isAtWork = false;
      this.#noteChange();
    }
  }

  get #rank(): number {
    const { self, instances } = this.context.membership;
    return rankOf(self.instance, instances);
  }

  /** The holder tries again soon, whatever its rank, before its lease ends. */
  get #failedPauseMs(): number {
    const rank = this.#lease.token === null ? this.#rank : 0;
    return Math.min(
      MAX_FAILED_PAUSE_MS,
      FAILED_PAUSE_MS + rank * RANK_PAUSE_MS,
    );
  }

  /** @returns whether another step may follow at once */
  async #once(notes: DutyNotes, givesUp: boolean): Promise<boolean> {
    const { context, duties } = this;
    const { clock, metrics } = context;
    const { token } = this;
    const step = this.#lease.next({
      rank: () => this.#rank,
      news: duties.news,
      notes: token === null ? this.confirmed : notes,
      givesUp,
    });
    if (step.kind === 'idle') {
      return false;
    }
    const askedMs = clock();
    if (step.kind === 'read') {
      const { row, storeMs } = await this.store.read();
      metrics.storeCalls.inc({ call: CALL, result: 'ok' });
      this.#readClock(storeMs, askedMs);
      this.#lease.onRead(row, storeMs);
      this.#tell();
      return true;
    }
    const written = await this.store.write(step.write);
    metrics.storeCalls.inc({ call: CALL, result: 'ok' });
    if (written.kind === 'refused') {
      this.#lease.onUnanswered();
      return true;
    }
    this.#readClock(written.storeMs, askedMs);
    this.#lease.onWritten(step.write, written.version, askedMs);
    this.#tell();
    this.#noteChange();
    return false;
  }

  #readClock(storeMs: number, askedMs: number): void {
    this.context.router.board.storeClock.read(storeMs, askedMs);
  }

  #tell(): void {
    const holding = this.#lease.known;
    if (!holding) {
      return;
    }
    if (noteHolding(this.duties, newsOf(holding))) {
      this.listener.onNews();
    }
  }

  #noteChange(): void {
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
      this.listener.onTaken(this.confirmed);
      return;
    }
    const { instance, token: newest } = this.duties.news ?? {};
    log.write('dutiesLost', { holder: instance, token: newest });
  }

  #noteFailure(err: unknown): void {
    this.context.metrics.storeCalls.inc({ call: CALL, result: 'failed' });
    const error = err instanceof Error ? err.message : String(err);
    this.context.log.write('holdingFailed', {
      error,
      held: this.#lease.token !== null,
    });
  }
}
