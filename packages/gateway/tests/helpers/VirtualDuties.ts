import type {
  DutySettings,
  HoldingRow,
  HoldingWrite,
} from '@jujubecroft/decisions';
import type { DutyAct } from '@jujubecroft/testing';
import type { OrganisationId } from '@jujubecroft/types';
import { brand, createRandom } from '@jujubecroft/types';

import { DutyLoop } from '../../src/duties/DutyLoop.js';
import type { GatewayContext } from '../../src/GatewayContext.js';
import type {
  DutyAnswer,
  DutyCaller,
  DutyPorts,
  HoldingWritten,
} from '../../src/ports/DutyPorts.js';
import { createSync } from '../../src/state/createSync.js';
import {
  configurationWith,
  replicaNamed,
  toListed,
  virtualContext,
} from './virtualDeployment.js';
import { VirtualLink } from './VirtualLink.js';
import { VirtualPeers } from './VirtualPeers.js';
import { VirtualStore } from './VirtualStore.js';
import { VirtualProcess, VirtualTime } from './VirtualTime.js';

/** Time of day when the store's clock and that of the test begin. */
const UNIX_MS = 1_764_000_001_700;
/** What the store's clock shows then. */
const STORE_MS = 5_000_000;
const WAY_MS = 2;
const WORK_MS = 5;
/** Time after which a call without an answer is given up. */
const TIMEOUT_MS = 900;
const FRESH_WITHIN_MS = 3000;
/** Mean time between two requests that begin at an instance. */
const REQUEST_EVERY_MS = 200;
const ORGANISATIONS = ['shop', 'farm', 'mill'].map(name =>
  brand<OrganisationId>(name),
);

export const DUTIES: DutySettings = {
  leaseMs: 3000,
  windowMs: 5000,
  lateMs: 10_000,
  reportsUsage: true,
  ordersReplicas: false,
};

/** A call that the platform has carried out. */
export interface CarriedOut extends DutyAct {
  readonly window: number;
  readonly counts: string;
}

interface Member {
  readonly name: string;
  readonly process: VirtualProcess;
  readonly link: VirtualLink;
  context: GatewayContext;
  stop: (() => void) | null;
  jumpMs: number;
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

/** Instances with their real loops that share duties, on one virtual clock. */
export class VirtualDuties {
  readonly time = new VirtualTime();
  readonly carriedOut: CarriedOut[] = [];
  readonly members: readonly Member[];
  /** Instances that don't reach the store, and those that don't reach the platform. */
  readonly cutFromStore = new Set<string>();
  readonly cutFromPlatform = new Set<string>();
  holdingCalls = 0;
  #row: HoldingRow = { version: 0, holding: null };
  #seenToken = 0;
  readonly #random: () => number;
  readonly #store: VirtualStore;
  readonly #peers: VirtualPeers;
  readonly #truth = new Map<number, Map<string, number>>();

  constructor(private readonly conditions: DutyConditions) {
    const { instances, seed, loss = 0 } = conditions;
    this.#random = createRandom(seed);
    this.#store = new VirtualStore(this.time, configurationWith(1, 1));
    this.#store.put(replicaNamed('s-0'));
    this.#peers = new VirtualPeers(this.time, () => this.#random() < loss);
    this.members = Array.from({ length: instances }, (_, at) =>
      this.#member(`entry-${at}`),
    );
  }

  /** Starts all instances within a quarter of a second. */
  start(): void {
    this.members.forEach(member => {
      this.time.after(250 * this.#random(), () => {
        this.#start(member);
      });
    });
  }

  /** Whoever holds the duties by the store, and is still alive. */
  get holder(): Member | undefined {
    const name = this.#row.holding?.instance;
    return this.members.find(
      member => member.name === name && member.stop !== null,
    );
  }

  /** Ends a process at once. */
  kill(member: Member): void {
    member.stop?.();
    member.stop = null;
    member.process.heldUntilMs = Infinity;
  }

  /** Starts a process that was ended again, on the same machine. */
  startAgain(member: Member): void {
    member.process.heldUntilMs = 0;
    member.context = this.#context(member);
    this.#start(member);
  }

  /** Asks an instance to stop, which hands the duties over first. */
  leave({ context }: Member): void {
    context.leaving = true;
    context.membership.leave();
  }

  /** Requests that began in a window, by organisation. */
  truthOf(window: number): ReadonlyMap<string, number> {
    return this.#truth.get(window) ?? new Map();
  }

  /** Windows that ended long enough ago to be reported. */
  get dueWindows(): readonly number[] {
    const nowUnixMs = UNIX_MS + this.time.nowMs;
    const { windowMs, lateMs } = DUTIES;
    return [...this.#truth.keys()].filter(
      window => nowUnixMs - (window + 1) * windowMs >= lateMs,
    );
  }

  #member(name: string): Member {
    const member: Member = {
      name,
      process: new VirtualProcess(),
      link: new VirtualLink(this.time, Infinity),
      context: null as never,
      stop: null,
      jumpMs: 0,
    };
    member.context = this.#context(member);
    return member;
  }

  #context(member: Member): GatewayContext {
    const context = virtualContext(
      member.name,
      FRESH_WITHIN_MS,
      this.time,
      member.process,
      {
        settings: DUTIES,
        startedMs: 1 + this.time.nowMs,
        timeOfDay: () => UNIX_MS + this.time.nowMs + member.jumpMs,
      },
    );
    const { instances } = this.conditions;
    context.membership.onList(
      Array.from({ length: instances }, (_, at) => `entry-${at}`)
        .filter(other => other !== member.name)
        .map(toListed),
    );
    return context;
  }

  #start(member: Member): void {
    const { context } = member;
    const { reader, peers } = createSync(
      context,
      {
        store: this.#store.seenBy(member),
        link: this.#peers.connect(member),
      },
      () => undefined,
    );
    const { duties } = context.router.board;
    if (!duties) {
      throw new Error('the context has no duties');
    }
    reader.start();
    void peers.start();
    const loop = new DutyLoop(context, duties, this.#ports(member), peers);
    loop.start();
    let isOver = false;
    member.stop = () => {
      isOver = true;
      loop.stop();
      reader.stop();
      void peers.stop();
    };
    const request = (): void => {
      if (!isOver) {
        this.#request(context);
        this.#after(member, 2 * REQUEST_EVERY_MS * this.#random(), request);
      }
    };
    request();
  }

  #request(context: GatewayContext): void {
    const { duties } = context.router.board;
    const at = Math.floor(ORGANISATIONS.length * this.#random() ** 2);
    const organisation = ORGANISATIONS[at] ?? null;
    duties?.usage.onBegan({ organisation }, duties.fleetClock.nowMs);
    const window = Math.floor((UNIX_MS + this.time.nowMs) / DUTIES.windowMs);
    const counts = this.#truth.get(window) ?? new Map<string, number>();
    this.#truth.set(window, counts);
    const name = organisation ?? '';
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }

  #after({ process }: Member, ms: number, run: () => void): void {
    this.time.after(ms, run, process, 'read');
  }

  /** Carries a call there, lets it be worked on, and its answer back. */
  #call<Answer>(
    member: Member,
    isCut: () => boolean,
    work: () => Answer,
  ): Promise<Answer> {
    const { lostAnswers = 0, late = 0 } = this.conditions;
    return new Promise((resolve, reject) => {
      this.#after(member, TIMEOUT_MS, () => {
        reject(new Error('no answer in time'));
      });
      if (isCut()) {
        return;
      }
      const isLost = this.#random() < lostAnswers;
      const lateMs =
        isLost && this.#random() < late ? 1000 + 10_000 * this.#random() : 0;
      this.time.after(WAY_MS + WORK_MS + lateMs, () => {
        const answer = work();
        if (!isLost && !isCut()) {
          this.#after(member, WAY_MS, () => {
            resolve(answer);
          });
        }
      });
    });
  }

  #ports(member: Member): DutyPorts {
    const { name } = member;
    const noStore = (): boolean => this.cutFromStore.has(name);
    const noPlatform = (): boolean => this.cutFromPlatform.has(name);
    return {
      holding: {
        read: () => {
          this.holdingCalls += 1;
          return this.#call(member, noStore, () => ({
            row: this.#row,
            storeMs: STORE_MS + this.time.nowMs,
          }));
        },
        write: write => {
          this.holdingCalls += 1;
          return this.#call(member, noStore, () => this.#write(write));
        },
      },
      platform: {
        reportUsage: (caller, { window, counts }) =>
          this.#call(member, noPlatform, () =>
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
