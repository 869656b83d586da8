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
const STORE_MS = 5_000_000;
const WAY_MS = 2;
const WORK_MS = 5;
/** Time after which a call without an answer is given up. */
const TIMEOUT_MS = 900;

/** A call that the platform has carried out. */
export interface CarriedOut extends DutyAct {
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
  readonly lostAnswers?: number;
  /** Part of the calls without an answer that are carried out seconds later. */
  readonly late?: number;
}

/** Who calls. */
export interface VirtualCaller {
  readonly name: string;
  readonly process: VirtualProcess;
}

/** The row of the holding and the calls of duties, on virtual time. */
export class VirtualDutyPlatform {
  readonly carriedOut: CarriedOut[] = [];
  /** Instances that don't reach the store, and those that don't reach the platform. */
  readonly cutFromStore = new Set<string>();
  readonly cutFromPlatform = new Set<string>();
  holdingCalls = 0;
  #row: HoldingRow = { version: 0, holding: null };
  #seenToken = 0;

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

  #after({ process }: VirtualCaller, ms: number, run: () => void): void {
    this.time.after(ms, run, process, 'read');
  }

  /** Carries a call there, lets it be worked on, and its answer back. */
  #call<Answer>(
    caller: VirtualCaller,
    isCut: () => boolean,
    work: () => Answer,
  ): Promise<Answer> {
    const { lostAnswers = 0, late = 0 } = this.conditions;
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
      this.time.after(WAY_MS + WORK_MS + lateMs, () => {
        const answer = work();
        if (!isLost && !isCut()) {
          this.#after(caller, WAY_MS, () => {
            resolve(answer);
          });
        }
      });
    });
  }

  /** What one instance reaches of store and platform. */
  portsOf(of: VirtualCaller): DutyPorts {
    const { name } = of;
    const noStore = (): boolean => this.cutFromStore.has(name);
    const noPlatform = (): boolean => this.cutFromPlatform.has(name);
    return {
      holding: {
        read: () => {
          this.holdingCalls += 1;
          return this.#call(of, noStore, () => ({
            row: this.#row,
            storeMs: STORE_MS + this.time.nowMs,
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
            this.#carryOut(caller, window, JSON.stringify(counts)),
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
      storeMs: STORE_MS + this.time.nowMs,
    };
  }

  #carryOut(
    { instance, token }: DutyCaller,
    window: number,
    counts: string,
  ): DutyAnswer {
    if (token < this.#seenToken) {
      return 'refused';
    }
    this.#seenToken = token;
    const atMs = this.time.nowMs;
    this.carriedOut.push({ holder: instance, token, atMs, window, counts });
    return 'accepted';
  }
}
