import type { Holding, HoldingRow, HoldingWrite } from '@jujubecroft/decisions';
import type { HolderCall } from '@jujubecroft/testing';
import { toStoreVersion, versionInEra } from '@jujubecroft/types';

import type {
  DutyCallResult,
  DutyCaller,
  DutyPorts,
  HoldingWriteResult,
} from '../../src/ports/DutyPorts.js';
import type { VirtualProcess, VirtualTime } from './VirtualTime.js';

/** Reading of the store's clock when virtual time starts. */
const INITIAL_STORE_MS = 5_000_000;
/** Network delay to the store and the platform, in one direction. */
const ONE_WAY_MS = 2;
/** Time that the store or the platform takes for a call. */
const SERVICE_TIME_MS = 5;
/** Timeout of a call. */
const TIMEOUT_MS = 900;

/** A usage report that the platform has accepted. */
export interface ExecutedCall extends HolderCall {
  readonly window: number;
  /** JSON of the reported counts. */
  readonly counts: string;
}

/** Size of a fleet with duties, and the faults that it is exposed to. */
export interface DutyConditions {
  readonly instances: number;
  readonly seed: number;
  /** Share of datagrams that get lost; 0 if omitted. */
  readonly loss?: number;
  /** Share of answers of the store and the platform that get lost; 0 if omitted. */
  readonly lostAnswerShare?: number;
  /**
   * Share of calls with a lost answer that are executed seconds later; 0 if omitted.
   */
  readonly lateShare?: number;
}

/** Stored rows by the era that they were written for, with their versions within it. */
type StoredRows = (
  { readonly version: number; readonly holding: Holding } | undefined
)[];

/** An instance that calls the store and the platform. */
export interface DutyClient {
  readonly name: string;
  readonly process: VirtualProcess;
}

/** The store's row for the holder of the duties, and the platform, in virtual time. */
export class VirtualDutyPlatform {
  readonly executedCalls: ExecutedCall[] = [];
  /** Names of instances that can't reach the store. */
  readonly cutFromStore = new Set<string>();
  /** Names of instances that can't reach the platform. */
  readonly cutFromPlatform = new Set<string>();
  /** Number of calls that read or wrote the row. */
  holdingCalls = 0;
  /** Rows by the era that they were written for. */
  #rows: StoredRows = [];
  #era = 0;
  #highestToken = 0;

  /**
   * @param time - the clock of all instances
   * @param conditions - the faults
   * @param random - draws which calls they affect
   */
  constructor(
    private readonly time: VirtualTime,
    private readonly conditions: DutyConditions,
    private readonly random: () => number,
  ) {}

  /** Instance that the row names as holder; undefined before the first. */
  get holder(): string | undefined {
    return this.#rows[this.#era]?.holding.instance;
  }

  #after({ process }: DutyClient, ms: number, run: () => void): void {
    this.time.after(ms, run, process, 'read');
  }

  /** Sends a call, handles it and returns the answer, subject to the faults. */
  #call<Answer>(
    caller: DutyClient,
    isCut: () => boolean,
    handle: () => Answer,
  ): Promise<Answer> {
    const { lostAnswerShare = 0, lateShare = 0 } = this.conditions;
    return new Promise((resolve, reject) => {
      this.#after(caller, TIMEOUT_MS, () => {
        reject(new Error('no answer in time'));
      });
      if (isCut()) {
        return;
      }
      const isLost = this.random() < lostAnswerShare;
      const lateMs =
        isLost && this.random() < lateShare ? 1000 + 10_000 * this.random() : 0;
      this.time.after(ONE_WAY_MS + SERVICE_TIME_MS + lateMs, () => {
        const answer = handle();
        if (!isLost && !isCut()) {
          this.#after(caller, ONE_WAY_MS, () => {
            resolve(answer);
          });
        }
      });
    });
  }

  /** @returns the store and the platform as an instance reaches them */
  createPorts(client: DutyClient): DutyPorts {
    const { name } = client;
    const noStore = (): boolean => this.cutFromStore.has(name);
    const noPlatform = (): boolean => this.cutFromPlatform.has(name);
    return {
      holding: {
        read: () => {
          this.holdingCalls += 1;
          return this.#call(client, noStore, () => ({
            row: this.#row,
            storeMs: INITIAL_STORE_MS + this.time.nowMs,
          }));
        },
        write: write => {
          this.holdingCalls += 1;
          return this.#call(client, noStore, () => this.#write(write));
        },
      },
      platform: {
        reportUsage: (caller, { window, counts }) =>
          this.#call(client, noPlatform, () =>
            this.#execute(caller, window, JSON.stringify(counts)),
          ),
        orderReplicas: () => Promise.reject(new Error('nothing to order')),
        close: () => undefined,
      },
    };
  }

  get #row(): HoldingRow {
    const own = this.#rows[this.#era];
    const earlier = this.#rows
      .slice(0, this.#era)
      .findLast(row => row !== undefined);
    return {
      era: this.#era,
      version: own ? toStoreVersion(this.#era, own.version) : 0,
      holding: own?.holding ?? null,
      earlier: own ? null : (earlier?.holding ?? null),
    };
  }

  /** Copies the rows, to restore them later. */
  copy(): StoredRows {
    return [...this.#rows];
  }

  /** Restores an older copy: later writes are lost, and a new era begins. */
  restore(copy: StoredRows): void {
    this.#rows = [...copy];
    this.#era += 1;
  }

  #write({ era, expectedVersion, holding }: HoldingWrite): HoldingWriteResult {
    const before = this.#rows[era]?.version ?? 0;
    if (versionInEra(expectedVersion) !== before) {
      return { kind: 'refused' };
    }
    // Copied, so that later changes by the writer don't affect the stored row.
    const stored = JSON.parse(JSON.stringify(holding)) as typeof holding;
    this.#rows[era] = { version: before + 1, holding: stored };
    return {
      kind: 'written',
      version: toStoreVersion(this.#era, before + 1),
      storeMs: INITIAL_STORE_MS + this.time.nowMs,
    };
  }

  #execute(
    { instance, token }: DutyCaller,
    window: number,
    counts: string,
  ): DutyCallResult {
    if (token < this.#highestToken) {
      return 'refused';
    }
    this.#highestToken = token;
    const atMs = this.time.nowMs;
    this.executedCalls.push({ holder: instance, token, atMs, window, counts });
    return 'accepted';
  }
}
