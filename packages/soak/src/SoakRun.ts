import { setTimeout as sleep } from 'node:timers/promises';
import { Client, request } from 'undici';
import { createRandom } from '@jujubecroft/types';

import type { WorkOrder } from './answers.js';
import type { CallerWorld, SoakEntry } from './callers/SoakCaller.js';
import { exchange, SoakCaller } from './callers/SoakCaller.js';
import type {
  DoneFault,
  Evidence,
  Leaving,
  SeenAnswer,
  SentRequest,
} from './evidence.js';
import type { FaultWorld } from './faults/injectFault.js';
import { injectFault } from './faults/injectFault.js';
import type { PlannedFault } from './faults/planFaults.js';
import { CALM_MS } from './faults/planFaults.js';
import { SOAK_BOUNDS } from './soakBounds.js';
import type { SoakEnvironment } from './SoakEnvironment.js';
import type { SoakFleet, SoakGateway } from './SoakFleet.js';
import { soakNow } from './soakNow.js';
import { SoakOperator } from './SoakOperator.js';
import type { SoakOptions } from './SoakOptions.js';

const CALLERS_PER_GATEWAY = 3;
const THINK_MS = 60;
const BURST_CALLERS = 12;
const BURST_THINK_MS = 5;
const ADDRESSES_EVERY_MS = 500;
const PROBE_EVERY_MS = 400;
const PROBE_LIMIT_MS = 1000;
const START_TIMEOUT_MS = 60_000;
const POLL_MS = 100;
/** Tells the load's random numbers apart from those of the faults. */
const LOAD_SEED = 0x5eed;
const OK = 200;
const CRASHING_EVERY_MS = 500;
const CRASHING: WorkOrder = {
  workMs: 60,
  events: 0,
  gapMs: 0,
  crashes: true,
};

/** One run of the soak over a fleet that was started. */
export class SoakRun {
  readonly #sent: SentRequest[] = [];
  readonly #answers = new Map<string, SeenAnswer>();
  readonly #faults: DoneFault[] = [];
  readonly #leaving: Leaving[] = [];
  readonly #callers: SoakCaller[] = [];
  readonly #running: Promise<void>[] = [];
  readonly #random: () => number;
  readonly #operator: SoakOperator;
  #addresses: readonly string[] = [];
  #ids = 0;
  #stopped = false;

  constructor(
    private readonly fleet: SoakFleet,
    private readonly environment: SoakEnvironment,
    private readonly options: SoakOptions,
  ) {
    this.#random = createRandom(options.seed ^ LOAD_SEED);
    this.#operator = new SoakOperator(fleet.store, this.#random);
    fleet.store.onEntry((replica, isReady) => {
      this.#onEntry(replica, isReady);
    });
  }

  async run(plan: readonly PlannedFault[]): Promise<Evidence> {
    this.#operator.configure();
    await this.#whenReady();
    const startMs = soakNow();
    this.#startCallers();
    const world = this.#faultWorld();
    const faults = plan.map(async fault => {
      await sleep(fault.atMs);
      await injectFault(fault, world, done => this.#faults.push(done));
    });
    await Promise.all(faults);
    // What the last faults began, as a slow stop, may last a little longer.
    const calmFromMs = soakNow();
    const restMs = startMs + 1000 * this.options.seconds - calmFromMs;
    await sleep(Math.max(CALM_MS, restMs));
    const endMs = soakNow();
    this.#stopped = true;
    this.#callers.forEach(caller => {
      caller.stop();
    });
    await Promise.all(this.#running);
    return {
      bounds: SOAK_BOUNDS,
      sent: this.#sent,
      answers: this.#answers,
      notes: this.fleet.notes(),
      faults: this.#faults,
      leaving: this.#leaving,
      configured: this.#operator.configured,
      dutyCalls: this.fleet.store.dutyCalls(),
      calmFromMs,
      endMs,
    };
  }

  #onEntry(replica: string, isReady: boolean): void {
    const nowMs = soakNow();
    if (!isReady) {
      this.#leaving.push({ replica, ackedMs: nowMs, backMs: Infinity });
      return;
    }
    this.#leaving
      .filter(left => left.replica === replica && left.backMs === Infinity)
      .forEach(left => {
        left.backMs = nowMs;
      });
  }

  async #whenReady(): Promise<void> {
    const deadlineMs = soakNow() + START_TIMEOUT_MS;
    for (const gateway of this.fleet.gateways) {
      while (!(await this.#isReady(gateway))) {
        if (soakNow() > deadlineMs) {
          throw new Error(`gateway ${gateway.index} did not become ready`);
        }
        await sleep(POLL_MS);
      }
    }
    await this.#readAddresses();
  }

  async #isReady(gateway: SoakGateway): Promise<boolean> {
    return request(this.fleet.urlOf(gateway, 'readiness')).then(
      async res => {
        await res.body.dump();
        return res.statusCode === OK;
      },
      () => false,
    );
  }

  async #readAddresses(): Promise<void> {
    const up = this.fleet.gateways.filter(({ program }) => program.isUp);
    const asked = up[Math.floor(this.#random() * up.length)];
    if (!asked) {
      return;
    }
    const addresses = await request(this.fleet.urlOf(asked, 'directory'), {
      signal: AbortSignal.timeout(1000),
    }).then(
      async res => this.environment.readAddresses(await res.body.text()),
      (): readonly string[] => [],
    );
    // Callers keep what they know when they get no answer.
    if (addresses.length > 0) {
      this.#addresses = addresses;
    }
  }

  #startCallers(): void {
    const count = CALLERS_PER_GATEWAY * this.fleet.gateways.length;
    Array.from({ length: count }).forEach((_, index) => {
      this.#addCaller(THINK_MS, index % 2 === 0);
    });
    this.#repeat(ADDRESSES_EVERY_MS, () => this.#readAddresses());
    this.fleet.gateways.forEach(gateway => {
      this.#repeat(PROBE_EVERY_MS, () => this.#probe(gateway));
    });
  }

  #addCaller(thinkMs: number, follows: boolean): SoakCaller {
    const caller = new SoakCaller(this.#callerWorld(), thinkMs, follows);
    this.#callers.push(caller);
    this.#running.push(caller.run());
    return caller;
  }

  #repeat(everyMs: number, step: () => Promise<void>): void {
    const loop = async (): Promise<void> => {
      while (!this.#stopped) {
        await step();
        await sleep(everyMs);
      }
    };
    this.#running.push(loop());
  }

  /** Asks a gateway by itself for the newest configuration's route. */
  async #probe(gateway: SoakGateway): Promise<void> {
    const newest = this.#operator.newest;
    if (!gateway.program.isUp || !newest) {
      return;
    }
    const address = this.fleet.addressOf(gateway);
    const client = new Client(`http://${address}`);
    const { answer } = await exchange(
      client,
      this.#callerWorld(),
      {
        id: this.#nextId(),
        kind: 'probe',
        gateway: gateway.index,
        incarnation: gateway.program.incarnation,
        sentMs: soakNow(),
        timeLimitMs: PROBE_LIMIT_MS,
        target: `/v${newest.version}/probe`,
        body: '',
        organisation: 'org-1',
        version: newest.version,
      },
      PROBE_LIMIT_MS,
    );
    this.#answers.set(answer.id, answer);
    await client.destroy();
  }

  #nextId(): string {
    this.#ids += 1;
    return `q${this.options.seed}-${this.#ids}`;
  }

  #callerWorld(): CallerWorld {
    return {
      environment: this.environment,
      random: this.#random,
      chooseEntry: () => this.#chooseEntry(),
      isListed: address => this.#addresses.includes(address),
      keyOf: organisation => this.#operator.keyOf(organisation),
      nextId: () => this.#nextId(),
      onSent: sent => this.#sent.push(sent),
      onAnswer: answer => this.#answers.set(answer.id, answer),
    };
  }

  #chooseEntry(): SoakEntry | null {
    const count = this.#addresses.length;
    const address = this.#addresses[Math.floor(this.#random() * count)];
    const gateway =
      address === undefined ? undefined : this.fleet.gatewayAt(address);
    return address !== undefined && gateway
      ? {
          address,
          gateway: gateway.index,
          incarnation: gateway.program.incarnation,
        }
      : null;
  }

  /** Repeats one request at any gateway, and starts the replicas again that it ends. */
  async #repeatCrashing(forMs: number): Promise<void> {
    const untilMs = soakNow() + forMs;
    while (soakNow() < untilMs) {
      const entry = this.#chooseEntry();
      if (entry) {
        void this.#sendCrashing(entry);
      }
      await sleep(CRASHING_EVERY_MS * 2 * this.#random());
      this.fleet.replicas.forEach(({ program }) => {
        program.start();
      });
    }
  }

  async #sendCrashing(entry: SoakEntry): Promise<void> {
    const client = new Client(`http://${entry.address}`);
    const { answer } = await exchange(
      client,
      this.#callerWorld(),
      {
        id: this.#nextId(),
        kind: 'safe',
        gateway: entry.gateway,
        incarnation: entry.incarnation,
        sentMs: soakNow(),
        timeLimitMs: PROBE_LIMIT_MS,
        target: '/safe/crash',
        body: JSON.stringify(CRASHING),
        organisation: 'org-1',
        version: null,
      },
      PROBE_LIMIT_MS,
    );
    this.#answers.set(answer.id, answer);
    await client.destroy();
  }

  #faultWorld(): FaultWorld {
    return {
      fleet: this.fleet,
      bounds: SOAK_BOUNDS,
      changeConfiguration: () => {
        this.#operator.configure();
      },
      addKey: () => {
        this.#operator.addKey();
      },
      repeatCrashing: forMs => this.#repeatCrashing(forMs),
      burst: forMs => {
        const callers = Array.from({ length: BURST_CALLERS }, () =>
          this.#addCaller(BURST_THINK_MS, true),
        );
        setTimeout(() => {
          callers.forEach(caller => {
            caller.stop();
          });
        }, forMs);
      },
    };
  }
}
