import { setTimeout as sleep } from 'node:timers/promises';
import { Client, request } from 'undici';
import { createRandom } from '@jujubecroft/types';

import type { CallerWorld, SoakEntry } from './callers/SoakCaller.js';
import { exchange, SoakCaller, soakNow } from './callers/SoakCaller.js';
import type {
  Configured,
  DoneFault,
  Evidence,
  Leaving,
  SeenAnswer,
  SentRequest,
  SoakBounds,
} from './evidence.js';
import type { FaultWorld } from './faults/injectFault.js';
import { injectFault } from './faults/injectFault.js';
import type { FaultKind, PlannedFault } from './faults/planFaults.js';
import { CALM_MS, planFaults } from './faults/planFaults.js';
import { ALL_PROMISES } from './promises/allPromises.js';
import { EvidenceIndex } from './promises/EvidenceIndex.js';
import type { Breach } from './promises/SoakPromise.js';
import type {
  SoakConfiguration,
  SoakEnvironment,
  SoakRoute,
} from './SoakEnvironment.js';
import type { SoakGateway } from './SoakFleet.js';
import { SERVICES, SoakFleet } from './SoakFleet.js';

/** How one soak runs. */
export interface SoakOptions {
  readonly seed: number;
  /** Length of the load, with the calm at its end. */
  readonly seconds: number;
  /** Gateways and replicas together. */
  readonly processes: number;
  /** Where logs and notes go. */
  readonly folder: string;
  /** Leaves out promises that compare times. */
  readonly untimed: boolean;
  /** Kinds of faults to draw from; all of them where omitted. */
  readonly kinds?: readonly FaultKind[];
}

/** What became of one promise. */
export interface PromiseVerdict {
  readonly promise: string;
  readonly breaches: readonly Breach[];
}

/** Result of one soak. */
export interface SoakResult {
  readonly seed: number;
  readonly faults: readonly DoneFault[];
  readonly sent: number;
  readonly served: number;
  readonly refused: number;
  /** Calls of the store, heartbeats of replicas too. */
  readonly storeCalls: number;
  readonly verdicts: readonly PromiseVerdict[];
  readonly kept: boolean;
}

const BOUNDS: SoakBounds = {
  contactMs: 3000,
  drainMs: 2000,
  graceMs: 5000,
  configurationMs: 2000,
  retryRatio: 0.2,
  retryExtra: 20,
  retryWindowMs: 10_000,
  attempts: 2,
  slackMs: 400,
};
const CALLERS_PER_GATEWAY = 3;
const THINK_MS = 60;
const BURST_CALLERS = 12;
const BURST_THINK_MS = 5;
const ADDRESSES_EVERY_MS = 500;
const PROBE_EVERY_MS = 400;
const PROBE_LIMIT_MS = 1000;
/** Probes' routes that stand at once; older ones are dropped. */
const KEPT_PROBES = 3;
const START_TIMEOUT_MS = 60_000;
const POLL_MS = 100;
const ROUTE_TIMEOUT_MS = 5000;
const OK = 200;
const REFUSED: readonly number[] = [429, 503];

function routesOf(versions: readonly number[]): readonly SoakRoute[] {
  const common = { attempts: BOUNDS.attempts, timeoutMs: ROUTE_TIMEOUT_MS };
  const [stock = '', words = ''] = SERVICES;
  return [
    { name: 'safe', prefix: '/safe/', kind: 'safe', service: stock, ...common },
    {
      name: 'unsafe',
      prefix: '/unsafe/',
      kind: 'unsafe',
      service: stock,
      ...common,
    },
    {
      name: 'stream',
      prefix: '/stream/',
      kind: 'stream',
      service: words,
      ...common,
    },
    {
      name: 'resumable',
      prefix: '/resumable/',
      kind: 'resumable',
      service: words,
      ...common,
    },
    ...versions.map((version): SoakRoute => ({
      name: `probe-${version}`,
      prefix: `/v${version}/`,
      kind: 'probe',
      service: stock,
      ...common,
    })),
  ];
}

/** One run of the soak over a fleet that was started. */
class Soak {
  readonly #sent: SentRequest[] = [];
  readonly #answers = new Map<string, SeenAnswer>();
  readonly #faults: DoneFault[] = [];
  readonly #leaving: Leaving[] = [];
  readonly #configured: Configured[] = [];
  readonly #callers: SoakCaller[] = [];
  readonly #running: Promise<void>[] = [];
  readonly #random: () => number;
  readonly #keys = new Map([
    ['org-1', ['key-1']],
    ['org-2', ['key-2']],
  ]);
  #addresses: readonly string[] = [];
  #ids = 0;
  #version = 0;
  #stopped = false;

  constructor(
    private readonly fleet: SoakFleet,
    private readonly environment: SoakEnvironment,
    private readonly options: SoakOptions,
  ) {
    this.#random = createRandom(options.seed ^ 0x5eed);
    fleet.store.onEntry((replica, isReady) => {
      this.#onEntry(replica, isReady);
    });
  }

  async run(plan: readonly PlannedFault[]): Promise<Evidence> {
    this.#configure();
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
      bounds: BOUNDS,
      sent: this.#sent,
      answers: this.#answers,
      notes: this.fleet.notes(),
      faults: this.#faults,
      leaving: this.#leaving,
      configured: this.#configured,
      calmFromMs,
      endMs,
    };
  }

  #configure(): void {
    this.#version += 1 + Math.floor(4 * this.#random());
    const versions = [
      ...this.#configured.map(({ version }) => version),
      this.#version,
    ].slice(-KEPT_PROBES);
    // Whoever asks at this very moment may meet either configuration.
    const nowMs = soakNow();
    this.#configured
      .filter(
        ({ version, droppedMs }) =>
          !versions.includes(version) && droppedMs === Infinity,
      )
      .forEach(configured => {
        configured.droppedMs = nowMs;
      });
    const cfg: SoakConfiguration = {
      version: this.#version,
      routes: routesOf(versions),
      services: SERVICES,
      keys: this.#keys,
    };
    this.fleet.store.configure(cfg);
    this.#configured.push({
      version: this.#version,
      ackedMs: soakNow(),
      droppedMs: Infinity,
    });
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

  /** Keys change hands in two steps, so that no caller has only an unknown one. */
  #changeKeys(): void {
    const name = this.#random() < 0.5 ? 'org-1' : 'org-2';
    const newest = `${name}-key-${this.#version}`;
    const before = this.#keys.get(name) ?? [];
    this.#keys.set(name, [...before, newest]);
    this.#configure();
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
    const newest = this.#configured.at(-1);
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
      // The oldest key is never taken away.
      keyOf: organisation => this.#keys.get(organisation)?.[0] ?? '',
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

  #faultWorld(): FaultWorld {
    return {
      fleet: this.fleet,
      bounds: BOUNDS,
      changeConfiguration: () => {
        this.#configure();
      },
      changeKeys: () => {
        this.#changeKeys();
      },
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

function verdictsOf(
  evidence: Evidence,
  untimed: boolean,
): readonly PromiseVerdict[] {
  const index = new EvidenceIndex(evidence);
  return ALL_PROMISES.filter(({ timed }) => !(timed && untimed)).map(
    ({ name, check }) => ({ promise: name, breaches: check(evidence, index) }),
  );
}

/** Second byte of the loopback addresses; two soaks at once should differ. */
function networkOf(): number {
  return 100 + (process.pid % 100);
}

/**
 * Runs the programs as processes, injects the faults of a seed and checks what
 * callers and replicas saw.
 *
 * @param environment - the surroundings
 * @param options - of this run
 * @returns the verdicts of all promises
 * @throws Error when the programs do not come up
 */
export async function runSoak(
  environment: SoakEnvironment,
  options: SoakOptions,
): Promise<SoakResult> {
  const gateways = Math.max(2, Math.floor(options.processes / 2));
  const size = {
    gateways,
    replicas: Math.max(4, options.processes - gateways),
    folder: options.folder,
    network: networkOf(),
    seed: options.seed,
  };
  const fleet = await SoakFleet.start(environment, size, BOUNDS);
  try {
    const soak = new Soak(fleet, environment, options);
    const plan = planFaults(options.seed, options.seconds, options.kinds);
    const evidence = await soak.run(plan);
    const verdicts = verdictsOf(evidence, options.untimed);
    const answers = [...evidence.answers.values()];
    return {
      seed: options.seed,
      faults: evidence.faults,
      sent: evidence.sent.length,
      served: answers.filter(({ status, whole }) => status === OK && whole)
        .length,
      refused: answers.filter(({ status }) => REFUSED.includes(status ?? 0))
        .length,
      storeCalls: fleet.store.calls(),
      verdicts,
      kept: verdicts.every(({ breaches }) => breaches.length === 0),
    };
  } finally {
    await fleet.stop();
  }
}
