import type { DutySettings } from '@jujubecroft/decisions';
import type { OrganisationId } from '@jujubecroft/types';
import { brand, createRandom } from '@jujubecroft/types';

import { DutyLoop } from '../../src/duties/DutyLoop.js';
import type { GatewayContext } from '../../src/GatewayContext.js';
import { createViewSync } from '../../src/state/createViewSync.js';
import {
  createConfiguration,
  createReplica,
  createListedMember,
  createVirtualContext,
} from './virtualDeployment.js';
import type { DutyConditions } from './VirtualDutyPlatform.js';
import { VirtualDutyPlatform } from './VirtualDutyPlatform.js';
import { VirtualLink } from './VirtualLink.js';
import { VirtualPeers } from './VirtualPeers.js';
import { VirtualStore } from './VirtualStore.js';
import { VirtualProcess, VirtualTime } from './VirtualTime.js';

/** Time of day when virtual time starts, in Unix milliseconds. */
const UNIX_MS = 1_764_000_001_700;
const FRESH_WITHIN_MS = 3000;
/** Mean interval between requests that begin at an instance. */
const REQUEST_INTERVAL_MS = 200;
const ORGANISATIONS = ['shop', 'farm', 'mill'].map(name =>
  brand<OrganisationId>(name),
);

/** Settings of the duties: usage reports only, in short windows. */
export const DUTIES: DutySettings = {
  leaseMs: 3000,
  windowMs: 5000,
  lateMs: 10_000,
  reportsUsage: true,
  ordersReplicas: false,
};

/** An instance of the fleet. */
interface VirtualMember {
  readonly name: string;
  readonly process: VirtualProcess;
  readonly link: VirtualLink;
  /** Replaced when the instance is restarted. */
  context: GatewayContext;
  /** Stops the loops; null if they don't run. */
  stop: (() => void) | null;
  /** Error of the instance's time of day. */
  clockOffsetMs: number;
}

/**
 * A fleet whose instances run their real loops for the duties, on one virtual clock.
 */
export class VirtualDuties {
  readonly time = new VirtualTime();
  readonly platform: VirtualDutyPlatform;
  readonly members: readonly VirtualMember[];
  readonly #random: () => number;
  readonly #store: VirtualStore;
  readonly #peers: VirtualPeers;
  readonly #actualCounts = new Map<number, Map<string, number>>();

  constructor(private readonly conditions: DutyConditions) {
    const { instances, seed, loss = 0 } = conditions;
    this.#random = createRandom(seed);
    this.platform = new VirtualDutyPlatform(
      this.time,
      conditions,
      this.#random,
    );
    this.#store = new VirtualStore(this.time, createConfiguration(1, 1));
    this.#store.put(createReplica('s-0'));
    this.#peers = new VirtualPeers(this.time, () => this.#random() < loss);
    this.members = Array.from({ length: instances }, (_, at) =>
      this.#createMember(`entry-${at}`),
    );
  }

  /** Starts all instances at random times within a quarter of a second. */
  start(): void {
    this.members.forEach(member => {
      this.time.after(250 * this.#random(), () => {
        this.#start(member);
      });
    });
  }

  /** Instance that the store names as holder; undefined if it isn't running. */
  get holder(): VirtualMember | undefined {
    return this.members.find(
      ({ name, stop }) => name === this.platform.holder && stop !== null,
    );
  }

  /** Crashes an instance. */
  kill(member: VirtualMember): void {
    member.stop?.();
    member.stop = null;
    member.process.stalledUntilMs = Infinity;
  }

  /** Restarts a crashed instance on the same machine. */
  restart(member: VirtualMember): void {
    member.process.stalledUntilMs = 0;
    member.context = this.#createContext(member);
    this.#start(member);
  }

  /** Makes an instance leave, which hands the duties over first. */
  leave({ context }: VirtualMember): void {
    context.leaving = true;
    context.membership.leave();
  }

  /** Number of requests that began in a window, by organisation. */
  actualCounts(window: number): ReadonlyMap<string, number> {
    return this.#actualCounts.get(window) ?? new Map();
  }

  /** Windows whose reports are due. */
  get dueWindows(): readonly number[] {
    const nowUnixMs = UNIX_MS + this.time.nowMs;
    const { windowMs, lateMs } = DUTIES;
    return [...this.#actualCounts.keys()].filter(
      window => nowUnixMs - (window + 1) * windowMs >= lateMs,
    );
  }

  #createMember(name: string): VirtualMember {
    const member: VirtualMember = {
      name,
      process: new VirtualProcess(),
      link: new VirtualLink(this.time, Infinity),
      context: null as never,
      stop: null,
      clockOffsetMs: 0,
    };
    member.context = this.#createContext(member);
    return member;
  }

  #createContext(member: VirtualMember): GatewayContext {
    const context = createVirtualContext(
      member.name,
      FRESH_WITHIN_MS,
      this.time,
      member.process,
      {
        settings: DUTIES,
        startedMs: 1 + this.time.nowMs,
        timeOfDay: () => UNIX_MS + this.time.nowMs + member.clockOffsetMs,
      },
    );
    const { instances } = this.conditions;
    context.membership.onList(
      Array.from({ length: instances }, (_, at) => `entry-${at}`)
        .filter(other => other !== member.name)
        .map(other => createListedMember(other)),
    );
    return context;
  }

  #start(member: VirtualMember): void {
    const { context } = member;
    const { reader, peers } = createViewSync(
      context,
      {
        store: this.#store.connect(member),
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
    const loop = new DutyLoop(
      context,
      duties,
      this.platform.createPorts(member),
      peers,
    );
    loop.start();
    let isStopped = false;
    member.stop = () => {
      isStopped = true;
      loop.stop();
      reader.stop();
      void peers.stop();
    };
    const request = (): void => {
      if (!isStopped) {
        this.#countRequest(context);
        this.#after(member, 2 * REQUEST_INTERVAL_MS * this.#random(), request);
      }
    };
    request();
  }

  #countRequest(context: GatewayContext): void {
    const { duties } = context.router.board;
    const at = Math.floor(ORGANISATIONS.length * this.#random() ** 2);
    const organisation = ORGANISATIONS[at] ?? null;
    duties?.usage.onStarted({ organisation }, duties.fleetClock.nowMs);
    const window = Math.floor((UNIX_MS + this.time.nowMs) / DUTIES.windowMs);
    const counts = this.#actualCounts.get(window) ?? new Map<string, number>();
    this.#actualCounts.set(window, counts);
    const name = organisation ?? '';
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }

  /** Schedules a task of an instance. */
  #after({ process }: VirtualMember, ms: number, run: () => void): void {
    this.time.after(ms, run, process, 'read');
  }
}
