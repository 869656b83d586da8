import type {
  AttemptResult,
  GatewayAttempt,
  GatewayRequest,
  PlacedCandidate,
  PlacementDecision,
} from '@jujubecroft/decisions';
import type {
  BackendServerId,
  RequestFingerprint,
  RequestId,
} from '@jujubecroft/types';
import { brand, createRandom } from '@jujubecroft/types';

import { placeOnView } from '../../src/forward/placeOnView.js';
import type { GatewayContext } from '../../src/GatewayContext.js';
import { createSync } from '../../src/state/createSync.js';
import {
  createConfiguration,
  createReplica,
  ROUTE,
  SERVICE,
  TIME_LIMIT_MS,
  createListedMember,
  createVirtualContext,
} from './virtualDeployment.js';
import { VirtualLink } from './VirtualLink.js';
import type { VirtualPeer } from './VirtualPeers.js';
import { VirtualPeers } from './VirtualPeers.js';
import { VirtualStore } from './VirtualStore.js';
import { VirtualProcess, VirtualTime } from './VirtualTime.js';

/** Time between two requests of an instance. */
const REQUEST_INTERVAL_MS = 100;

/** What a fleet has to live with. */
export interface FleetConditions {
  readonly instances: number;
  readonly replicas: number;
  /** Time in which a leave must be in force everywhere. */
  readonly freshWithinMs: number;
  /** Part of the datagrams that get lost. */
  readonly loss: number;
  /** Mean time that an instance is held up, each time; 0 for never. */
  readonly meanStallMs: number;
  /** Mean time from the end of such a time to the next. */
  readonly meanStallIntervalMs: number;
  readonly seed: number;
  /** Of each instance, in each direction; infinite where omitted. */
  readonly linkBitsPerS?: number;
  /** Routes of the configuration; one where omitted. */
  readonly routes?: number;
  /** How long replicas take to answer; requests are not sent where omitted. */
  readonly answerMs?: number;
}

/** How a request went out, or why it did not. */
export type RequestOutcome =
  | { readonly kind: 'refused'; readonly code: string }
  | {
      readonly kind: 'sent';
      readonly replica: BackendServerId;
      readonly ended: Promise<AttemptResult>;
    };

/** Time after a crash until the entry of a replica lapses, and another has started. */
const REPLACEMENT_MS = 3000;

/** A request that reached a replica. */
export interface Arrival {
  readonly atMs: number;
  /** When its answer came; infinite before. */
  answeredAtMs: number;
  /** Whether the answer named a limit. */
  namedLimit: boolean;
  readonly instance: string;
  readonly replica: BackendServerId;
  readonly priority: number;
}

interface InFlightRequest {
  readonly context: GatewayContext;
  readonly attempt: GatewayAttempt;
  readonly settle: (result: AttemptResult) => void;
}

/** A request as it went out. */
export interface DispatchedRequest {
  readonly atMs: number;
  readonly instance: string;
  /**
   * Time since the oldest leave that the instance's view lacks was acknowledged, which
   * is how long after its leave a replica could have got the request; 0 for none.
   */
  readonly missedLeaveMs: number;
  /** How old the instance took its view of the replicas for. */
  readonly viewAgeMs: number;
}

interface VirtualInstance extends VirtualPeer {
  readonly context: GatewayContext;
}

/** Instances with their real loops, on one virtual clock. */
export class VirtualFleet {
  readonly time = new VirtualTime();
  readonly store: VirtualStore;
  readonly sent: DispatchedRequest[] = [];
  /** Requests that were turned away since their instance was behind others. */
  refusedAsBehind = 0;
  readonly instances: readonly VirtualInstance[];
  readonly #peers: VirtualPeers;
  readonly #random: () => number;
  readonly #inFlight = new Set<InFlightRequest>();
  readonly #limits = new Map<BackendServerId, number | null>();
  /** Requests that reached a replica. */
  readonly arrivals: Arrival[] = [];
  readonly #crashed = new Set<BackendServerId>();
  #requestCount = 0;
  #configurationVersion = 1;

  constructor(private readonly conditions: FleetConditions) {
    const { instances, replicas, loss, routes = 1, seed } = conditions;
    this.#random = createRandom(seed);
    this.store = new VirtualStore(
      this.time,
      createConfiguration(this.#configurationVersion, routes),
    );
    this.#peers = new VirtualPeers(this.time, () => this.#random() < loss);
    Array.from({ length: replicas }, (_, index) => {
      this.store.put(createReplica(`s-${index}`));
    });
    const names = Array.from({ length: instances }, (_, at) => `entry-${at}`);
    this.instances = names.map(name => this.#createInstance(name));
    this.instances.forEach(({ name, context }) => {
      const others = names.filter(other => other !== name);
      context.membership.onList(others.map(createListedMember));
    });
  }

  /** Writes that a replica is leaving. */
  leave(index: number): void {
    this.store.put(createReplica(`s-${index}`, true));
  }

  /**
   * Writes another configuration, which differs from the one before in one route.
   *
   * @param routes - that it has
   * @returns its version
   */
  configure(routes = this.conditions.routes ?? 1): number {
    this.#configurationVersion += 1;
    this.store.configure(
      createConfiguration(this.#configurationVersion, routes),
    );
    return this.#configurationVersion;
  }

  /** Versions of the configuration that the instances have in force. */
  get versions(): readonly number[] {
    return this.instances.map(
      ({ context }) => context.router.board.table?.cfg.version ?? 0,
    );
  }

  /** Starts all instances within a period. */
  async start(): Promise<void> {
    this.instances.forEach(instance => {
      this.time.after(this.#random() * 250, () => {
        void this.#start(instance);
      });
    });
    await this.time.run(3000);
    this.sent.length = 0;
  }

  #createInstance(name: string): VirtualInstance {
    const process = new VirtualProcess();
    const { time } = this;
    const link = new VirtualLink(
      time,
      this.conditions.linkBitsPerS ?? Infinity,
    );
    const { freshWithinMs } = this.conditions;
    const context = createVirtualContext(name, freshWithinMs, time, process);
    return { name, process, link, context };
  }

  async #start(instance: VirtualInstance): Promise<void> {
    const { name, process, context } = instance;
    const { reader, peers } = createSync(
      context,
      {
        store: this.store.connect(instance),
        link: this.#peers.connect(instance),
      },
      () => undefined,
    );
    reader.start();
    await peers.start();
    this.#scheduleStalls(process);
    this.#scheduleRequests(name, process, context);
  }

  #scheduleStalls(process: VirtualProcess): void {
    const { meanStallMs: heldUpMs, meanStallIntervalMs: everyMs } =
      this.conditions;
    if (heldUpMs === 0) {
      return;
    }
    this.time.after(2 * everyMs * this.#random(), () => {
      const forMs = 2 * heldUpMs * this.#random();
      process.stalledUntilMs = this.time.nowMs + forMs;
      this.time.after(forMs, () => {
        this.#scheduleStalls(process);
      });
    });
  }

  #scheduleRequests(
    name: string,
    process: VirtualProcess,
    context: GatewayContext,
  ): void {
    this.time.after(
      REQUEST_INTERVAL_MS * (0.5 + this.#random()),
      () => {
        this.#scheduleRequests(name, process, context);
        this.#requestCount += 1;
        void this.#sendRequest(name, context, this.#uniqueFingerprint());
      },
      process,
      'read',
    );
  }

  /** Content that no other request has. */
  #uniqueFingerprint(): RequestFingerprint {
    return brand<RequestFingerprint>(
      this.#requestCount.toString(16).padStart(16, '0'),
    );
  }

  /**
   * Sends a request to an instance.
   *
   * @param index - of the instance
   * @param content - what its repeats have in common
   */
  async sendRequest(
    index: number,
    content: RequestFingerprint,
  ): Promise<RequestOutcome> {
    const instance = this.instances[index];
    if (!instance) {
      throw new Error(`there is no instance ${index}`);
    }
    this.#requestCount += 1;
    return this.#sendRequest(instance.name, instance.context, content);
  }

  async #sendRequest(
    name: string,
    context: GatewayContext,
    content: RequestFingerprint,
  ): Promise<RequestOutcome> {
    const decision = await this.#place(name, context, content);
    if (decision?.kind !== 'send') {
      return { kind: 'refused', code: decision?.code ?? 'noRoutingKnown' };
    }
    const replica = decision.placed.load.replica.id;
    const ended = this.#run(context, decision.request, decision.placed);
    return { kind: 'sent', replica, ended };
  }

  async #place(
    name: string,
    context: GatewayContext,
    content: RequestFingerprint,
  ): Promise<(PlacementDecision & { request: GatewayRequest }) | null> {
    const service = context.router.board.table?.service(SERVICE);
    if (!service) {
      return null;
    }
    const request: GatewayRequest = {
      id: brand<RequestId>(`q-${this.#requestCount}`),
      route: ROUTE,
      service,
      organisation: null,
      priority: 0,
      prompt: null,
      arrivedMs: this.time.nowMs,
      deadlineMs: this.time.nowMs + TIME_LIMIT_MS,
      cameBack: false,
      fingerprint: () => content,
    };
    const decision = await placeOnView(context, request, new Set());
    if (decision.kind === 'send') {
      const atMs = this.time.nowMs;
      const missedLeaveMs = this.store.leaves
        .filter(({ id }) => !isLeaving(context, id))
        .reduce(
          (oldest, { atMs: leftMs }) => Math.max(oldest, atMs - leftMs),
          0,
        );
      const viewAgeMs = context.router.board.replicas.ageMs;
      this.sent.push({ atMs, instance: name, missedLeaveMs, viewAgeMs });
    } else if (decision.code === 'viewOutdated') {
      this.refusedAsBehind += 1;
    }
    return { ...decision, request };
  }

  /** Lets a request run at its replica for a while. */
  async #run(
    context: GatewayContext,
    request: GatewayRequest,
    placed: PlacedCandidate,
  ): Promise<AttemptResult> {
    const { answerMs } = this.conditions;
    const answered: AttemptResult = { kind: 'answered', status: 200 };
    if (answerMs === undefined) {
      return answered;
    }
    const { router } = context;
    const attempt = router.begin(request, placed, 1);
    const result = await new Promise<AttemptResult>(settle => {
      if (this.#crashed.has(placed.load.replica.id)) {
        settle({ kind: 'unsent', reason: 'connection refused' });
        return;
      }
      const arrival: Arrival = {
        atMs: this.time.nowMs,
        answeredAtMs: Infinity,
        namedLimit: false,
        instance: context.settings.instance,
        replica: placed.load.replica.id,
        priority: request.priority,
      };
      this.arrivals.push(arrival);
      const flight = { context, attempt, settle };
      this.#inFlight.add(flight);
      this.time.after(answerMs, () => {
        if (this.#inFlight.delete(flight)) {
          const perS = this.#limits.get(placed.load.replica.id) ?? null;
          router.onLimit(attempt, perS);
          arrival.namedLimit = perS !== null;
          arrival.answeredAtMs = this.time.nowMs;
          router.onReported(attempt, { running: 3, waiting: 0, slots: 64 });
          settle(answered);
        }
      });
    });
    router.onEnded(attempt, result);
    return result;
  }

  /**
   * Lets a replica name a limit with each answer from now on.
   *
   * @param perS - requests a second; null for none any more
   */
  limit(id: BackendServerId, perS: number | null): void {
    this.#limits.set(id, perS);
  }

  /** Whether a replica has crashed. */
  hasCrashed(id: BackendServerId): boolean {
    return this.#crashed.has(id);
  }

  /**
   * Ends a replica with all that runs there; its entry lapses, and another one starts.
   *
   * @returns requests that were lost with it
   */
  crash(id: BackendServerId): number {
    this.#crashed.add(id);
    const lost = [...this.#inFlight].filter(
      ({ attempt }) => attempt.load.replica.id === id,
    );
    lost.forEach(flight => {
      this.#inFlight.delete(flight);
      flight.settle({ kind: 'lost', reason: 'socket hang up' });
    });
    this.time.after(REPLACEMENT_MS, () => {
      this.store.remove(id);
      this.store.put(createReplica(`${id}-again`));
    });
    return lost.length;
  }
}

function isLeaving({ router }: GatewayContext, id: BackendServerId): boolean {
  return router.board.replicas.find(id)?.leaving ?? true;
}
