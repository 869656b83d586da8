import { setTimeout as sleep } from 'node:timers/promises';
import { request } from 'undici';
import { createRandom } from '@jujubecroft/types';

import type { CrashingRequest } from './callers/crashingRequests.js';
import {
  CRASHING_PART,
  CRASHING_REQUEST,
  CRASHING_WORK,
} from './callers/crashingRequests.js';
import type {
  CallerContext,
  CallerHabits,
  GatewayEndpoint,
} from './callers/SoakCaller.js';
import {
  ResetAwareClient,
  sendRequest,
  SoakCaller,
  COMMON_PART,
  SUBJECTS,
  subjectOf,
} from './callers/SoakCaller.js';
import type {
  Evidence,
  InjectedFault,
  ObservedResponse,
  ReplicaDeparture,
  SentRequest,
} from './evidence.js';
import type { FaultContext } from './faults/injectFault.js';
import { injectFault } from './faults/injectFault.js';
import type { PlannedFault } from './faults/planFaults.js';
import { COOLDOWN_MS } from './faults/planFaults.js';
import { SOAK_BOUNDS } from './soakBounds.js';
import type { SoakEnvironment } from './SoakEnvironment.js';
import type { SoakFleet, SoakGateway } from './SoakFleet.js';
import { soakNow } from './soakNow.js';
import { repeatableKindsOf, SoakOperator } from './SoakOperator.js';
import type { SoakOptions } from './SoakOptions.js';

const CALLERS_PER_GATEWAY = 3;
const MIN_MEAN_THINK_TIME_MS = 60;
/** Rates that one process can send, relay and record without delay. */
const MAX_REQUESTS_PER_S = 300;
const MAX_PROBES_PER_S = 30;
const MS_PER_SECOND = 1000;
const BURST_CALLERS = 12;
const BURST_HABITS: CallerHabits = {
  meanThinkTimeMs: 5,
  followsAddresses: true,
};
/** Enough callers for a replica to have many requests of each gateway at once. */
const CROWD_CALLERS = 40;
const CROWD_HABITS: CallerHabits = {
  meanThinkTimeMs: 150,
  followsAddresses: false,
  minEvents: 30,
};
const ADDRESS_REFRESH_INTERVAL_MS = 500;
const MIN_PROBE_INTERVAL_MS = 400;
const PROBE_TIME_LIMIT_MS = 1000;
const START_TIMEOUT_MS = 60_000;
const READINESS_POLL_INTERVAL_MS = 100;
/** Combined with the seed, so that the load and the fault plan draw different numbers. */
const LOAD_SEED_MASK = 0x5eed;
/** A generator of its own, so that the load of a seed does not depend on these draws. */
const STREAM_SEED_MASK = 0x57e4;
const HTTP_OK = 200;
/** Mean interval between crashing requests. */
const CRASHING_MEAN_INTERVAL_MS = 500;
/** The same for requests that share a crashing part. */
const CRASHING_PART_MEAN_INTERVAL_MS = 120;
/** One soak: applies load and faults to a started fleet and collects the evidence. */
export class SoakRun {
  readonly #sent: SentRequest[] = [];
  readonly #answers = new Map<string, ObservedResponse>();
  readonly #faults: InjectedFault[] = [];
  readonly #leaving: ReplicaDeparture[] = [];
  readonly #callers: SoakCaller[] = [];
  readonly #loops: Promise<void>[] = [];
  readonly #random: () => number;
  readonly #streamRandom: () => number;
  readonly #operator: SoakOperator;
  #addresses: readonly string[] = [];
  #idCount = 0;
  #stopped = false;

  constructor(
    private readonly fleet: SoakFleet,
    private readonly environment: SoakEnvironment,
    private readonly options: SoakOptions,
  ) {
    this.#random = createRandom(options.seed ^ LOAD_SEED_MASK);
    this.#streamRandom = createRandom(options.seed ^ STREAM_SEED_MASK);
    this.#operator = new SoakOperator(fleet.store, this.#random);
    fleet.store.onEntryChange((replica, isReady) => {
      this.#onEntry(replica, isReady);
    });
  }

  /**
   * Runs the load and the faults, and returns once all callers have stopped.
   *
   * @param plan - faults to inject
   * @throws Error if a gateway does not become ready in time
   */
  async run(plan: readonly PlannedFault[]): Promise<Evidence> {
    this.#operator.configure();
    await this.#waitUntilReady();
    const startMs = soakNow();
    this.#startCallers();
    const context = this.#faultContext();
    const faults = plan.map(async fault => {
      await sleep(fault.atMs);
      await injectFault(fault, context, injected =>
        this.#faults.push(injected),
      );
    });
    await Promise.all(faults);
    // Faults such as a slow stop may take longer than planned, so the fault-free
    // period starts only after the last one has ended.
    const cooldownFromMs = soakNow();
    const remainingMs =
      startMs + MS_PER_SECOND * this.options.seconds - cooldownFromMs;
    await sleep(Math.max(COOLDOWN_MS, remainingMs));
    const endMs = soakNow();
    this.#stopped = true;
    this.#callers.forEach(caller => {
      caller.stop();
    });
    await Promise.all(this.#loops);
    return {
      bounds: SOAK_BOUNDS,
      sent: this.#sent,
      answers: this.#answers,
      notes: this.fleet.notes(),
      faults: this.#faults,
      leaving: this.#leaving,
      configurationWrites: this.#operator.configurationWrites,
      dutyCalls: this.fleet.store.dutyCalls(),
      ownEnds: this.fleet.gateways.flatMap(({ index, program }) =>
        program.ownEnds.map(exit => ({ gateway: index, exit })),
      ),
      cooldownFromMs,
      endMs,
    };
  }

  /** Records when a replica's entry stops being ready and when it is ready again. */
  #onEntry(replica: string, isReady: boolean): void {
    const nowMs = soakNow();
    if (!isReady) {
      this.#leaving.push({ replica, ackedMs: nowMs, returnedMs: Infinity });
      return;
    }
    this.#leaving
      .filter(
        departure =>
          departure.replica === replica && departure.returnedMs === Infinity,
      )
      .forEach(departure => {
        departure.returnedMs = nowMs;
      });
  }

  async #waitUntilReady(): Promise<void> {
    const deadlineMs = soakNow() + START_TIMEOUT_MS;
    for (const gateway of this.fleet.gateways) {
      while (!(await this.#isReady(gateway))) {
        if (soakNow() > deadlineMs) {
          throw new Error(`gateway ${gateway.index} did not become ready`);
        }
        await sleep(READINESS_POLL_INTERVAL_MS);
      }
    }
    await this.#refreshAddresses();
  }

  async #isReady(gateway: SoakGateway): Promise<boolean> {
    return request(this.fleet.urlOf(gateway, 'readiness')).then(
      async res => {
        await res.body.dump();
        return res.statusCode === HTTP_OK;
      },
      () => false,
    );
  }

  async #refreshAddresses(): Promise<void> {
    const up = this.fleet.gateways.filter(({ program }) => program.isRunning);
    const gateway = up[Math.floor(this.#random() * up.length)];
    if (!gateway) {
      return;
    }
    const addresses = await request(this.fleet.urlOf(gateway, 'directory'), {
      signal: AbortSignal.timeout(1000),
    }).then(
      async res => this.environment.readAddresses(await res.body.text()),
      (): readonly string[] => [],
    );
    // Callers keep the previous addresses if the request fails.
    if (addresses.length > 0) {
      this.#addresses = addresses;
    }
  }

  #startCallers(): void {
    const count = CALLERS_PER_GATEWAY * this.fleet.gateways.length;
    const meanThinkMs = Math.max(
      MIN_MEAN_THINK_TIME_MS,
      (count * MS_PER_SECOND) / MAX_REQUESTS_PER_S,
    );
    const probeIntervalMs = Math.max(
      MIN_PROBE_INTERVAL_MS,
      (this.fleet.gateways.length * MS_PER_SECOND) / MAX_PROBES_PER_S,
    );
    Array.from({ length: count }).forEach((_, index) => {
      this.#addCaller({
        meanThinkTimeMs: meanThinkMs,
        followsAddresses: index % 2 === 0,
      });
    });
    this.#repeat(ADDRESS_REFRESH_INTERVAL_MS, () => this.#refreshAddresses());
    this.fleet.gateways.forEach(gateway => {
      this.#repeat(probeIntervalMs, () => this.#probe(gateway));
    });
  }

  #addCaller(habits: CallerHabits): SoakCaller {
    const caller = new SoakCaller(this.#callerContext(), habits);
    this.#callers.push(caller);
    this.#loops.push(caller.run());
    return caller;
  }

  /** Repeats a step until the run stops, with a pause after each. */
  #repeat(intervalMs: number, step: () => Promise<void>): void {
    const loop = async (): Promise<void> => {
      while (!this.#stopped) {
        await step();
        await sleep(intervalMs);
      }
    };
    this.#loops.push(loop());
  }

  /** Sends a request for the latest configuration's probe route to one gateway. */
  async #probe(gateway: SoakGateway): Promise<void> {
    const latestWrite = this.#operator.latestWrite;
    if (!gateway.program.isRunning || !latestWrite) {
      return;
    }
    const address = this.fleet.addressOf(gateway);
    const client = new ResetAwareClient(address);
    const { answer } = await sendRequest(
      client,
      this.#callerContext(),
      {
        id: this.#nextId(),
        kind: 'probe',
        gateway: gateway.index,
        incarnation: gateway.program.incarnation,
        sentMs: soakNow(),
        timeLimitMs: PROBE_TIME_LIMIT_MS,
        target: `/v${latestWrite.version}/probe`,
        body: '',
        organisation: 'org-1',
        version: latestWrite.version,
        continues: null,
      },
      PROBE_TIME_LIMIT_MS,
    );
    this.#answers.set(answer.id, answer);
    await client.destroy();
  }

  #nextId(): string {
    this.#idCount += 1;
    return `q${this.options.seed}-${this.#idCount}`;
  }

  #callerContext(): CallerContext {
    return {
      environment: this.environment,
      random: this.#random,
      streamRandom: this.#streamRandom,
      chooseGateway: () => this.#chooseGateway(),
      isListed: address => this.#addresses.includes(address),
      keyOf: organisation => this.#operator.keyOf(organisation),
      nextId: () => this.#nextId(),
      onSent: sent => this.#sent.push(sent),
      onResponse: answer => this.#answers.set(answer.id, answer),
    };
  }

  #chooseGateway(): GatewayEndpoint | null {
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

  /**
   * Sends requests that crash replicas, to gateways chosen at random, and restarts the
   * replicas that have crashed.
   *
   * @param forMs - duration
   * @param meanIntervalMs - mean interval between requests
   * @param draw - returns the next request
   */
  async #sendCrashingRequests(
    forMs: number,
    meanIntervalMs: number,
    draw: () => CrashingRequest,
  ): Promise<void> {
    const untilMs = soakNow() + forMs;
    while (soakNow() < untilMs) {
      const endpoint = this.#chooseGateway();
      if (endpoint) {
        void this.#sendCrashingRequest(endpoint, draw());
      }
      await sleep(meanIntervalMs * 2 * this.#random());
      this.fleet.replicas.forEach(({ program }) => {
        program.start();
      });
    }
  }

  /** Draws a request that shares a part with others that crash replicas, and no more. */
  #drawCrashingPart(): CrashingRequest {
    const subject = subjectOf(Math.floor(SUBJECTS * this.#random()));
    return {
      kind: 'stream',
      target: '/stream/crash',
      work: {
        // No two of these requests have the same body.
        workMs: CRASHING_WORK.workMs * (1 + this.#random()),
        events: this.#random() < 0.5 ? 0 : 1,
        gapMs: 0,
        crashes: true,
        parts: [COMMON_PART, CRASHING_PART, subject],
      },
    };
  }

  async #sendCrashingRequest(
    endpoint: GatewayEndpoint,
    { kind, target, work }: CrashingRequest,
  ): Promise<void> {
    const client = new ResetAwareClient(endpoint.address);
    const { answer } = await sendRequest(
      client,
      this.#callerContext(),
      {
        id: this.#nextId(),
        kind,
        gateway: endpoint.gateway,
        incarnation: endpoint.incarnation,
        sentMs: soakNow(),
        timeLimitMs: PROBE_TIME_LIMIT_MS,
        target,
        body: JSON.stringify(work),
        organisation: 'org-1',
        version: null,
        continues: null,
      },
      PROBE_TIME_LIMIT_MS,
    );
    this.#answers.set(answer.id, answer);
    await client.destroy();
  }

  #faultContext(): FaultContext {
    return {
      fleet: this.fleet,
      bounds: SOAK_BOUNDS,
      callers: this.#callerContext(),
      changeConfiguration: variant => {
        this.#operator.configure(variant);
      },
      addKey: () => {
        this.#operator.addKey();
      },
      sendCrashingRequests: forMs =>
        this.#sendCrashingRequests(
          forMs,
          CRASHING_MEAN_INTERVAL_MS,
          () => CRASHING_REQUEST,
        ),
      sendCrashingParts: forMs =>
        this.#sendCrashingRequests(forMs, CRASHING_PART_MEAN_INTERVAL_MS, () =>
          this.#drawCrashingPart(),
        ),
      burst: forMs => {
        this.#addCallers(BURST_CALLERS, forMs, BURST_HABITS);
      },
      crowd: (forMs, service) => {
        const kinds = repeatableKindsOf(service);
        this.#addCallers(CROWD_CALLERS, forMs, { ...CROWD_HABITS, kinds });
      },
    };
  }

  #addCallers(count: number, forMs: number, habits: CallerHabits): void {
    const callers = Array.from({ length: count }, () =>
      this.#addCaller(habits),
    );
    setTimeout(() => {
      callers.forEach(caller => {
        caller.stop();
      });
    }, forMs);
  }
}
