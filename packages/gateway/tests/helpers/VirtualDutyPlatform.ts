import type { HoldingRow, HoldingWrite } from '@jujubecroft/decisions';
import type { DutyAct } from '@jujubecroft/testing';

import type {
  DutyAnswer,
  DutyCaller,
  DutyPorts,
  HoldingWritten,
} from '../../src/ports/DutyPorts.js';
import type { VirtualProcess, VirtualTime } from './VirtualTime.js';

/** What the store's clock shows when the test begins. */
const INITIAL_STORE_MS = 5_000_000;
const ONE_WAY_MS = 2;
const SERVICE_TIME_MS = 5;
/** Time after which a call without an answer is given up. */
const TIMEOUT_MS = 900;

/** A call that the platform has carried out. */
export interface ExecutedCall extends DutyAct {
  readonly window: number;
  readonly counts: string;
}

/** What a fleet with duties has to live with. */
export interface DutyConditions {
  readonly instances: number;
  readonly seed: number;
  /** Part of the datagrams that get lost. */
  readonly loss?: number;
  /** Part of the answers of store and platform that get lost. */
  readonly lostAnswerShare?: number;
  /** Part of the calls without an answer that are carried out seconds later. */
  readonly lateShare?: number;
}

/** Who calls. */
export interface DutyClient {
  readonly name: string;
  readonly process: VirtualProcess;
}

/** The row of the holding and the calls of duties, on virtual time. */
export class VirtualDutyPlatform {
  readonly executedCalls: ExecutedCall[] = [];
  /** Instances that don't reach the store, and those that don't reach the platform. */
  readonly cutFromStore = new Set<string>();
  readonly cutFromPlatform = new Set<string>();
  holdingCalls = 0;
  #row: HoldingRow = { version: 0, holding: null };
  #highestToken = 0;

  /**
   * @param time - the clock of all
   * @param conditions - what is lost and late
   * @param random - draws what is
   */
  constructor(
    private readonly time: VirtualTime,
    private readonly conditions: DutyConditions,
    private readonly random: () => number,
  ) {}

  /** Instance that the row names; undefined before the first. */
  get holder(): string | undefined {
    return this.#row.holding?.instance;
  }

  #after({ process }: DutyClient, ms: number, run: () => void): void {
    this.time.after(ms, run, process, 'read');
  }

  /** Carries a call there, lets it be worked on, and its answer back. */
  #call<Answer>(
    caller: DutyClient,
    isCut: () => boolean,
    work: () => Answer,
  ): Promise<Answer> {
    const { lostAnswerShare: lostAnswers = 0, lateShare: late = 0 } =
      this.conditions;
    return new Promise((resolve, reject) => {
      this.#after(caller, TIMEOUT_MS, () => {
        reject(new Error('no answer in time'));
      });
      if (isCut()) {
        return;
      }
      const isLost = this.random() < lostAnswers;
      const lateMs =
        isLost && this.random() < late ? 1000 + 10_000 * this.random() : 0;
      this.time.after(ONE_WAY_MS + SERVICE_TIME_MS + lateMs, () => {
        const answer = work();
        if (!isLost && !isCut()) {
          this.#after(caller, ONE_WAY_MS, () => {
            resolve(answer);
          });
        }
      });
    });
  }

  /** What one instance reaches of store and platform. */
  createPorts(of: DutyClient): DutyPorts {
    const { name } = of;
    const noStore = (): boolean => this.cutFromStore.has(name);
    const noPlatform = (): boolean => this.cutFromPlatform.has(name);
    return {
      holding: {
        read: () => {
          this.holdingCalls += 1;
          return this.#call(of, noStore, () => ({
            row: this.#row,
            storeMs: INITIAL_STORE_MS + this.time.nowMs,
          }));
        },
        write: write => {
          this.holdingCalls += 1;
          return this.#call(of, noStore, () => this.#write(write));
        },
      },
      platform: {
        reportUsage: (caller, { window, counts }) =>
          this.#call(of, noPlatform, () =>
            this.#execute(caller, window, JSON.stringify(counts)),
          ),
        orderReplicas: () => Promise.reject(new Error('nothing to order')),
        close: () => undefined,
      },
    };
  }

  #write({ expectedVersion, holding }: HoldingWrite): HoldingWritten {
    if (expectedVersion !== this.#row.version) {
      return { kind: 'refused' };
    }
    // What the store holds is what was written, not what its writer goes on with.
    const stored = JSON.parse(JSON.stringify(holding)) as typeof holding;
    this.#row = { version: expectedVersion + 1, holding: stored };
    return {
      kind: 'written',
      version: this.#row.version,
      storeMs: INITIAL_STORE_MS + this.time.nowMs,
    };
  }

  #execute(
    { instance, token }: DutyCaller,
    window: number,
    counts: string,
  ): DutyAnswer {
    if (token < this.#highestToken) {
      return 'refused';
    }
    this.#highestToken = token;
    const atMs = this.time.nowMs;
    this.executedCalls.push({ holder: instance, token, atMs, window, counts });
    return 'accepted';
  }
}
