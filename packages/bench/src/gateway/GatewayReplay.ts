import { callerPatienceMs } from '@jujubecroft/decisions';
import type {
  GatewayAttempt,
  GatewayRequest,
  GatewayRouter,
  ReportedLoad,
  WithdrawReason,
} from '@jujubecroft/decisions';
import type {
  BackendServerId,
  OrganisationId,
  Replica,
} from '@jujubecroft/types';
import { assertDefined, brand, createRandom } from '@jujubecroft/types';

import { EventQueue } from '../simulation/EventQueue.js';
import type { RequestKind } from './burstLoad.js';
import type { GatewayPolicyFactory } from './createReplayRouter.js';
import { createReplayRouter, createReplica } from './createReplayRouter.js';
import { exchangeWork } from './exchangeWork.js';
import { HostPace } from './HostPace.js';
import type { PromptJob } from './PromptEngine.js';
import { PromptEngine } from './PromptEngine.js';
import { ReplayCallers } from './ReplayCallers.js';
import type { ServedBySize } from './servedBySize.js';
import { servedBySize } from './servedBySize.js';
import type { ReplayShape } from './replayShapes.js';
import { EXCHANGE_MS, SMALL_FLEET } from './replayShapes.js';
import type { PriorityInversion, ReplayedRequest } from './UrgencyWatch.js';
import { UrgencyWatch } from './UrgencyWatch.js';

/** Counts of the requests of one kind, by outcome. */
export interface KindResult {
  readonly kind: string;
  requests: number;
  /** Completed, with the first event and all gaps between events within the targets of the route. */
  onTime: number;
  /** Completed, but not within the targets. */
  late: number;
  refused: number;
  /** Aborted after placement: by the caller, at the time limit or by a restart of the instance. */
  cut: number;
}

const LOAD_S = 24;
const BURST_START_S = 6;
const BURST_END_S = 14;
const DRAIN_S = 20;
const NETWORK_DELAY_MS = 1;
const NO_SOURCE_ENGINE = brand<BackendServerId>('');
const MS_PER_SECOND = 1000;
/** Added to the seed of a replay for the requests of a surge. */
const SURGE_SEED = 1_000_000;

/** Counts of the requests of one organisation and kind that arrived during the surge. */
export interface OrganisationResult {
  readonly organisation: OrganisationId | null;
  readonly kind: string;
  requests: number;
  onTime: number;
  refused: number;
}

/** Counters and record that the outcome of one request is written to. */
interface OutcomeTargets {
  readonly result: KindResult;
  readonly organisation: OrganisationResult;
  readonly replayed: ReplayedRequest;
}

/** Simulates one load on several instances of the gateway in virtual time. */
export class GatewayReplay {
  readonly #events = new EventQueue();
  readonly #engines = new Map<BackendServerId, PromptEngine>();
  readonly #paces = new Map<BackendServerId, HostPace>();
  readonly #routers: GatewayRouter[] = [];
  readonly #results = new Map<string, KindResult>();
  readonly #organisations = new Map<string, OrganisationResult>();
  readonly #inversions: UrgencyWatch;
  /** By instance: callbacks that abort its requests in flight, called when it restarts. */
  readonly #abortCallbacks = new Map<GatewayRouter, Set<() => void>>();
  /** Engines and instances that had their announcement of a leave. */
  readonly #informed = new Set<string>();
  readonly #random: () => number;
  readonly #callers: ReplayCallers;
  /** Separate random source of a surge, so that all other requests are the same without it. */
  readonly #surgeRandom: () => number;
  readonly #surgeCallers: ReplayCallers;

  constructor(
    private readonly createPolicies: GatewayPolicyFactory,
    private readonly seed: number,
    private readonly shape: ReplayShape = SMALL_FLEET,
  ) {
    this.#random = createRandom(seed);
    this.#callers = new ReplayCallers(shape, this.#random);
    this.#surgeRandom = createRandom(seed + SURGE_SEED);
    this.#surgeCallers = new ReplayCallers(shape, this.#surgeRandom, 'surge');
    this.#inversions = new UrgencyWatch(shape.load.kinds);
  }

  /** Tokens of shared prompt parts that all engines together prefilled, in thousands. */
  get sharedPrefillKilotokens(): number {
    return [...this.#engines.values()].reduce(
      (sum, { sharedTokensPrefilled }) => sum + sharedTokensPrefilled / 1000,
      0,
    );
  }

  /** Counts by organisation and kind of the requests that arrived during the surge. */
  get organisations(): readonly OrganisationResult[] {
    return [...this.#organisations.values()];
  }

  /** Number of preemptions that left a request of a less urgent route running. */
  get misorderedPreemptions(): number {
    return [...this.#engines.values()].reduce(
      (sum, { misorderedPreemptions }) => sum + misorderedPreemptions,
      0,
    );
  }

  /** Windows in which urgent requests went unserved while less urgent ones started. */
  get priorityInversions(): readonly PriorityInversion[] {
    return this.#inversions.findInversions();
  }

  /** For each kind, the shares of its requests that were served, by prompt length. */
  get servedBySize(): readonly ServedBySize[] {
    return this.shape.load.kinds.map(({ route }) =>
      servedBySize(route.id, this.#inversions.requests),
    );
  }

  /** Number of pairs of an engine and an instance that it told of its leave. */
  get announcedLeaves(): number {
    return this.#informed.size;
  }

  /** Time for which each engine was working, in milliseconds, in their order. */
  get busyMs(): readonly number[] {
    return [...this.#engines.values()].map(({ busyMs }) => busyMs);
  }

  /** Requests that engines rejected with a requested pause. */
  rejections = 0;
  /** Requests that engines rejected since they were full. */
  rejectedFull = 0;
  /** Requests that reached an engine although its leave was known to their instance. */
  requestsAfterLeave = 0;

  /**
   * Runs the load and lets requests in flight end.
   *
   * @returns one result for each kind of request
   */
  run(): readonly KindResult[] {
    const { slots } = this.shape;
    const replicas = Array.from({ length: this.shape.replicas }, (_, index) =>
      createReplica(index, slots),
    );
    const engine = { ...this.shape.load.engine, slots };
    replicas.forEach(({ id }, index) => {
      const pace = new HostPace(
        index,
        this.shape.uneven ?? null,
        () => this.#events.nowMs,
        createRandom(this.seed * replicas.length + index),
      );
      this.#paces.set(id, pace);
      this.#engines.set(
        id,
        new PromptEngine(this.#events, engine, () => pace.factor),
      );
    });
    Array.from({ length: this.shape.instances }).forEach((_, index) => {
      this.#routers[index] = this.#startRouter(index, replicas);
    });
    this.shape.restarts?.forEach(({ atMs, instances }) => {
      this.#events.at(atMs, () => {
        this.#routers.slice(0, instances).forEach((router, index) => {
          this.#abortCallbacks.get(router)?.forEach(abort => {
            abort();
          });
          this.#routers[index] = this.#startRouter(index, replicas);
        });
      });
    });
    this.#events.every(EXCHANGE_MS, EXCHANGE_MS, () => {
      exchangeWork(this.#routers, {
        exchange: this.shape.exchange,
        random: this.#random,
        after: (ms, run) => {
          this.#events.after(ms, run);
        },
      });
    });
    this.shape.load.kinds.forEach(kind => {
      this.#results.set(kind.route.id, {
        kind: kind.route.id,
        requests: 0,
        onTime: 0,
        late: 0,
        refused: 0,
        cut: 0,
      });
      this.#scheduleNext(kind);
      this.#scheduleSurge(kind);
    });
    this.#events.runUntil((LOAD_S + DRAIN_S) * MS_PER_SECOND);
    return [...this.#results.values()];
  }

  #startRouter(index: number, replicas: readonly Replica[]): GatewayRouter {
    const world = {
      clock: () => this.#events.nowMs,
      createPolicies: this.createPolicies,
      seed: this.seed,
      shape: this.shape,
    };
    const router = createReplayRouter(world, index, replicas);
    this.#abortCallbacks.set(router, new Set());
    return router;
  }

  /** Pause that an engine requests with a rejection now; null if it accepts requests. */
  #requestedPauseMs(id: BackendServerId): number | null {
    const { overload } = this.shape;
    const { nowMs } = this.#events;
    const isOverloaded =
      overload !== undefined &&
      nowMs >= overload.fromMs &&
      nowMs < overload.toMs &&
      [...this.#engines.keys()].indexOf(id) < overload.engines;
    return isOverloaded ? overload.pauseMs : null;
  }

  /** Load that an engine reports now. */
  #reportOf(id: BackendServerId): ReportedLoad {
    const { slots, uneven } = this.shape;
    const { running = 0, waiting = 0 } = this.#engines.get(id) ?? {};
    const load = { running, waiting, slots };
    const slowdown = this.#paces.get(id)?.moment ?? 1;
    return uneven?.isReported === true ? { ...load, slowdown } : load;
  }

  /** Whether the answers of an engine announce its leave now. */
  #isLeaving(id: BackendServerId): boolean {
    const { leave } = this.shape;
    return (
      leave !== undefined &&
      this.#events.nowMs >= leave.fromMs &&
      [...this.#engines.keys()].slice(-leave.engines).includes(id)
    );
  }

  /** Whether an instance has had an answer that announced the leave of an engine. */
  #hasAnnouncedLeave({ board }: GatewayRouter, id: BackendServerId): boolean {
    return this.#informed.has(`${id} ${board.instance}`);
  }

  #scheduleNext(kind: RequestKind): void {
    const nowS = this.#events.nowMs / MS_PER_SECOND;
    const inBurst = nowS >= BURST_START_S && nowS < BURST_END_S;
    const perS = this.shape.scale * kind.perS * (inBurst ? kind.burst : 1);
    const waitMs = (-Math.log(1 - this.#random()) * MS_PER_SECOND) / perS;
    if (this.#events.nowMs + waitMs > LOAD_S * MS_PER_SECOND) {
      return;
    }
    this.#events.after(waitMs, () => {
      this.#onArrival(kind);
      this.#scheduleNext(kind);
    });
  }

  /** Schedules the requests that the first organisation sends beyond its usual ones. */
  #scheduleSurge(kind: RequestKind): void {
    const { surge, scale, load } = this.shape;
    const callers = load.organisations ?? [];
    const [caller] = callers;
    if (!surge || !caller) {
      return;
    }
    const perS = (scale * kind.perS * (surge.factor - 1)) / callers.length;
    const random = this.#surgeRandom;
    const scheduleNext = (fromMs: number): void => {
      const atMs = fromMs + (-Math.log(1 - random()) * MS_PER_SECOND) / perS;
      if (atMs < surge.toMs) {
        this.#events.at(atMs, () => {
          const router = this.#drawRouter(random);
          this.#onRequest(
            kind,
            router,
            this.#surgeCallers.drawRequest(kind, router, atMs, caller),
          );
          scheduleNext(atMs);
        });
      }
    };
    scheduleNext(surge.fromMs);
  }

  /** Returns the counts of an organisation and kind; not kept outside of the surge. */
  #organisationOf({
    organisation,
    route,
    arrivedMs,
  }: GatewayRequest): OrganisationResult {
    const { surge } = this.shape;
    const key = `${organisation ?? ''} ${route.id}`;
    const result = this.#organisations.get(key) ?? {
      organisation,
      kind: route.id,
      requests: 0,
      onTime: 0,
      refused: 0,
    };
    if (surge && arrivedMs >= surge.fromMs && arrivedMs < surge.toMs) {
      this.#organisations.set(key, result);
      return result;
    }
    return { ...result };
  }

  #onArrival(kind: RequestKind): void {
    const router = this.#drawRouter();
    const { nowMs } = this.#events;
    const request = this.#callers.drawRequest(kind, router, nowMs);
    this.#onRequest(kind, router, request);
  }

  #onRequest(
    kind: RequestKind,
    router: GatewayRouter,
    request: GatewayRequest,
  ): void {
    const result = assertDefined(
      this.#results.get(kind.route.id),
      'every kind has a result',
    );
    const organisation = this.#organisationOf(request);
    result.requests += 1;
    organisation.requests += 1;
    const replayed = this.#inversions.onRequest({
      kind,
      priority: request.priority,
      askedMs: request.arrivedMs,
      promptTokens: request.prompt?.promptTokens ?? 0,
    });
    this.#placeRequest(kind, router, request, {
      result,
      organisation,
      replayed,
    });
  }

  #drawRouter(random = this.#random): GatewayRouter {
    const index = Math.floor(random() * this.shape.instances);
    return assertDefined(
      this.#routers[index],
      'index is below the number of instances',
    );
  }

  #placeRequest(
    kind: RequestKind,
    router: GatewayRouter,
    request: GatewayRequest,
    outcome: OutcomeTargets,
  ): void {
    const decision = router.place(request, new Set());
    if (decision.kind === 'send') {
      const attempt = router.beginAttempt(request, decision.placed, 1);
      this.#send(kind, router, attempt, outcome);
      return;
    }
    if (this.shape.callersRetry !== true || request.isCallerRetry) {
      outcome.result.refused += 1;
      outcome.organisation.refused += 1;
      return;
    }
    this.#events.after(decision.retryAfterMs, () => {
      const retry = {
        ...request,
        arrivedMs: this.#events.nowMs,
        isCallerRetry: true,
      };
      this.#placeRequest(kind, this.#drawRouter(), retry, outcome);
    });
  }

  #send(
    kind: RequestKind,
    router: GatewayRouter,
    attempt: GatewayAttempt,
    outcome: OutcomeTargets,
  ): void {
    const { result, organisation, replayed } = outcome;
    const { request, load } = attempt;
    const [shared, own] = request.prompt?.parts ?? [];
    const engine = assertDefined(
      this.#engines.get(load.replica.id),
      'every replica has an engine',
    );
    const { id } = load.replica;
    if (this.#hasAnnouncedLeave(router, id)) {
      this.requestsAfterLeave += 1;
    }
    let lastEventMs = request.arrivedMs;
    let firstEventMs: number | null = null;
    let longestGapMs = 0;
    let ended = false;
    const abortCallbacks = this.#abortCallbacks.get(router);
    const onInstanceStop = (): void => {
      replayed.isExcluded = true;
      abort('callerLeft');
    };
    abortCallbacks?.add(onInstanceStop);
    const job: PromptJob = {
      sharedPartId: shared?.id ?? '',
      sharedTokens: shared?.tokens ?? 0,
      ownTokens: own?.tokens ?? 0,
      copyFrom:
        this.#engines.get(attempt.fetch?.from.id ?? NO_SOURCE_ENGINE) ?? null,
      outputTokens: kind.outputTokens,
      priority: attempt.rank,
      routePriority: request.route.priority,
      onEvent: () => {
        const nowMs = this.#events.nowMs;
        if (firstEventMs === null) {
          firstEventMs = nowMs;
          replayed.firstEventMs = nowMs;
          router.onReported(attempt, this.#reportOf(id));
          if (this.#isLeaving(id)) {
            router.onLeaveAnnounced(attempt);
            this.#informed.add(`${id} ${router.board.instance}`);
          }
        } else {
          longestGapMs = Math.max(longestGapMs, nowMs - lastEventMs);
        }
        lastEventMs = nowMs;
        router.onBytes(attempt);
      },
      onEnd: () => {
        ended = true;
        abortCallbacks?.delete(onInstanceStop);
        replayed.isServed = true;
        router.onEnded(attempt, {
          kind: 'answered',
          status: 200,
          framing: 'selfDelimited',
        });
        const { latencyTargetMs, gapTargetMs } = request.route;
        const firstEventLatencyMs =
          (firstEventMs ?? Infinity) - replayed.askedMs;
        const isOnTime =
          firstEventLatencyMs <= latencyTargetMs && longestGapMs <= gapTargetMs;
        result[isOnTime ? 'onTime' : 'late'] += 1;
        organisation.onTime += isOnTime ? 1 : 0;
      },
    };
    const abort = (reason: WithdrawReason): void => {
      ended = true;
      abortCallbacks?.delete(onInstanceStop);
      engine.cancel(job);
      router.onEnded(attempt, { kind: 'withdrawn', reason });
      result.cut += 1;
    };
    const reject = (pauseMs: number): void => {
      ended = true;
      abortCallbacks?.delete(onInstanceStop);
      this.rejections += 1;
      router.onPauseRequested(attempt, pauseMs);
      router.onEnded(attempt, { kind: 'notRun', reason: 'status 503' });
      this.#placeRequest(kind, router, request, outcome);
    };
    const rejectFull = (): void => {
      ended = true;
      abortCallbacks?.delete(onInstanceStop);
      this.rejectedFull += 1;
      router.onReported(attempt, this.#reportOf(id));
      router.onEnded(attempt, { kind: 'notRun', reason: 'status 503' });
      result.refused += 1;
    };
    const copyMs = attempt.fetch?.copyMs ?? 0;
    this.#events.after(NETWORK_DELAY_MS + copyMs, () => {
      const pauseMs = this.#requestedPauseMs(id);
      if (!ended && pauseMs !== null) {
        reject(pauseMs);
      } else if (
        !ended &&
        engine.running >= this.shape.slots &&
        engine.waiting >= (this.shape.queue ?? Infinity)
      ) {
        rejectFull();
      } else if (!ended) {
        engine.submit(job);
      }
    });
    this.#events.at(request.arrivedMs + callerPatienceMs(request.route), () => {
      if (!ended && firstEventMs === null) {
        abort('callerLeft');
      }
    });
    this.#events.at(request.deadlineMs, () => {
      if (!ended) {
        abort('timeLimit');
      }
    });
  }
}
