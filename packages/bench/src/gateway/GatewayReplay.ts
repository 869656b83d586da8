import { callerPatienceMs } from '@jujubecroft/decisions';
import type {
  GatewayAttempt,
  GatewayRequest,
  GatewayRouter,
  WithdrawReason,
} from '@jujubecroft/decisions';
import type { BackendServerId, Replica } from '@jujubecroft/types';
import { assertDefined, brand, createRandom } from '@jujubecroft/types';

import { EventQueue } from '../simulation/EventQueue.js';
import type { BurstKind } from './burstLoad.js';
import type { GatewayPolicyFactory } from './createReplayRouter.js';
import { createReplayRouter, replicaOf } from './createReplayRouter.js';
import { exchangeWork } from './exchangeWork.js';
import type { PromptJob } from './PromptEngine.js';
import { PromptEngine } from './PromptEngine.js';
import { ReplayCallers } from './ReplayCallers.js';
import type { ServedBySize } from './servedBySize.js';
import { servedBySize } from './servedBySize.js';
import type { ReplayShape } from './replayShapes.js';
import { EXCHANGE_MS, SMALL_FLEET } from './replayShapes.js';
import type { OvertakenUrgent, RequestFate } from './UrgencyWatch.js';
import { UrgencyWatch } from './UrgencyWatch.js';

/** What became of the requests of one kind. */
export interface KindResult {
  readonly kind: string;
  asked: number;
  /** Whole, with first event and pauses within their targets. */
  onTime: number;
  late: number;
  refused: number;
  cut: number;
}

const SECONDS = 24;
const BURST_FROM_S = 6;
const BURST_TO_S = 14;
const DRAIN_S = 20;
const NETWORK_MS = 1;
const NO_ENGINE = brand<BackendServerId>('');
const MS_PER_SECOND = 1000;

/** Where it is noted what becomes of one request. */
interface Outcome {
  readonly result: KindResult;
  readonly fate: RequestFate;
}

/** Plays one load on several instances of the gateway, on virtual time. */
export class GatewayReplay {
  readonly #events = new EventQueue();
  readonly #engines = new Map<BackendServerId, PromptEngine>();
  readonly #routers: GatewayRouter[] = [];
  readonly #results = new Map<string, KindResult>();
  readonly #urgency: UrgencyWatch;
  /** Ends what an instance carries, for when it starts again. */
  readonly #carried = new Map<GatewayRouter, Set<() => void>>();
  readonly #random: () => number;
  readonly #callers: ReplayCallers;

  constructor(
    private readonly createPolicies: GatewayPolicyFactory,
    private readonly seed: number,
    private readonly shape: ReplayShape = SMALL_FLEET,
  ) {
    this.#random = createRandom(seed);
    this.#callers = new ReplayCallers(shape, this.#random);
    this.#urgency = new UrgencyWatch(shape.load.kinds);
  }

  /** Thousands of tokens of shared parts that all engines read. */
  get sharedThousandsRead(): number {
    return [...this.#engines.values()].reduce(
      (sum, { sharedTokensRead }) => sum + sharedTokensRead / 1000,
      0,
    );
  }

  /** Times that requests were preempted while ones of a less urgent route ran on. */
  get preemptedFirst(): number {
    return [...this.#engines.values()].reduce(
      (sum, { preemptedFirst }) => sum + preemptedFirst,
      0,
    );
  }

  /** Spans in which urgent requests got nothing while less urgent ones began. */
  get overtakenUrgent(): readonly OvertakenUrgent[] {
    return this.#urgency.overtaken();
  }

  /** Shares of each kind's requests that were served, by size. */
  get servedBySize(): readonly ServedBySize[] {
    return this.shape.load.kinds.map(({ route }) =>
      servedBySize(route.id, this.#urgency.fates),
    );
  }

  /** @returns one result for each kind of request */
  run(): readonly KindResult[] {
    const { slots } = this.shape;
    const replicas = Array.from({ length: this.shape.replicas }, (_, index) =>
      replicaOf(index, slots),
    );
    const engine = { ...this.shape.load.engine, slots };
    replicas.forEach(({ id }) => {
      this.#engines.set(id, new PromptEngine(this.#events, engine));
    });
    Array.from({ length: this.shape.instances }).forEach((_, index) => {
      this.#routers[index] = this.#startRouter(index, replicas);
    });
    this.shape.restarts?.forEach(({ atMs, instances }) => {
      this.#events.at(atMs, () => {
        this.#routers.slice(0, instances).forEach((router, index) => {
          this.#carried.get(router)?.forEach(end => {
            end();
          });
          this.#routers[index] = this.#startRouter(index, replicas);
        });
      });
    });
    this.#events.every(EXCHANGE_MS, EXCHANGE_MS, () => {
      exchangeWork(this.#routers, {
        how: this.shape.exchange,
        random: this.#random,
        after: (ms, run) => {
          this.#events.after(ms, run);
        },
      });
    });
    this.shape.load.kinds.forEach(kind => {
      this.#results.set(kind.route.id, {
        kind: kind.route.id,
        asked: 0,
        onTime: 0,
        late: 0,
        refused: 0,
        cut: 0,
      });
      this.#scheduleNext(kind);
    });
    this.#events.runUntil((SECONDS + DRAIN_S) * MS_PER_SECOND);
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
    this.#carried.set(router, new Set());
    return router;
  }

  #scheduleNext(kind: BurstKind): void {
    const nowS = this.#events.nowMs / MS_PER_SECOND;
    const inBurst = nowS >= BURST_FROM_S && nowS < BURST_TO_S;
    const perS = this.shape.scale * kind.perS * (inBurst ? kind.burst : 1);
    const waitMs = (-Math.log(1 - this.#random()) * MS_PER_SECOND) / perS;
    if (this.#events.nowMs + waitMs > SECONDS * MS_PER_SECOND) {
      return;
    }
    this.#events.after(waitMs, () => {
      this.#arrive(kind);
      this.#scheduleNext(kind);
    });
  }

  #arrive(kind: BurstKind): void {
    const router = this.#drawRouter();
    const result = assertDefined(
      this.#results.get(kind.route.id),
      'every kind has one',
    );
    const { nowMs } = this.#events;
    const request = this.#callers.requestOf(kind, router, nowMs);
    result.asked += 1;
    const fate = this.#urgency.onAsked({
      kind,
      priority: request.priority,
      askedMs: nowMs,
      promptTokens: request.prompt?.promptTokens ?? 0,
    });
    this.#ask(kind, router, request, { result, fate });
  }

  #drawRouter(): GatewayRouter {
    const at = Math.floor(this.#random() * this.shape.instances);
    return assertDefined(this.#routers[at], 'drawn below the count');
  }

  #ask(
    kind: BurstKind,
    router: GatewayRouter,
    request: GatewayRequest,
    outcome: Outcome,
  ): void {
    const decision = router.place(request, new Set());
    if (decision.kind === 'send') {
      const attempt = router.beginAttempt(request, decision.placed, 1);
      this.#send(kind, router, attempt, outcome);
      return;
    }
    if (this.shape.returns !== true || request.isCallerRetry) {
      outcome.result.refused += 1;
      return;
    }
    this.#events.after(decision.retryAfterMs, () => {
      const again = {
        ...request,
        arrivedMs: this.#events.nowMs,
        cameBack: true,
      };
      this.#ask(kind, this.#drawRouter(), again, outcome);
    });
  }

  #send(
    kind: BurstKind,
    router: GatewayRouter,
    attempt: GatewayAttempt,
    { result, fate }: Outcome,
  ): void {
    const { request, load } = attempt;
    const [shared, own] = request.prompt?.parts ?? [];
    const engine = assertDefined(
      this.#engines.get(load.replica.id),
      'every replica has an engine',
    );
    let lastMs = request.arrivedMs;
    let firstMs: number | null = null;
    let longestPauseMs = 0;
    let ended = false;
    const carried = this.#carried.get(router);
    const onInstanceEnd = (): void => {
      fate.isExcused = true;
      giveUp('callerLeft');
    };
    carried?.add(onInstanceEnd);
    const job: PromptJob = {
      sharedPart: shared?.id ?? '',
      sharedTokens: shared?.tokens ?? 0,
      ownTokens: own?.tokens ?? 0,
      copyFrom: this.#engines.get(attempt.fetch?.from.id ?? NO_ENGINE) ?? null,
      outputTokens: kind.outputTokens,
      priority: attempt.rank,
      routePriority: request.route.priority,
      onEvent: () => {
        const nowMs = this.#events.nowMs;
        if (firstMs === null) {
          firstMs = nowMs;
          fate.beganMs = nowMs;
          const { running, waiting } = engine;
          const { slots } = this.shape;
          router.onReported(attempt, { running, waiting, slots });
        } else {
          longestPauseMs = Math.max(longestPauseMs, nowMs - lastMs);
        }
        lastMs = nowMs;
        router.onBytes(attempt);
      },
      onEnd: () => {
        ended = true;
        carried?.delete(onInstanceEnd);
        fate.isServed = true;
        router.onEnded(attempt, { kind: 'answered', status: 200 });
        const { latencyTargetMs, gapTargetMs } = request.route;
        const tookMs = (firstMs ?? Infinity) - fate.askedMs;
        const isOnTime =
          tookMs <= latencyTargetMs && longestPauseMs <= gapTargetMs;
        result[isOnTime ? 'onTime' : 'late'] += 1;
      },
    };
    const giveUp = (reason: WithdrawReason): void => {
      ended = true;
      carried?.delete(onInstanceEnd);
      engine.cancel(job);
      router.onEnded(attempt, { kind: 'withdrawn', reason });
      result.cut += 1;
    };
    const copyMs = attempt.fetch?.copyMs ?? 0;
    this.#events.after(NETWORK_MS + copyMs, () => {
      if (!ended) {
        engine.submit(job);
      }
    });
    this.#events.at(request.arrivedMs + callerPatienceMs(request.route), () => {
      if (!ended && firstMs === null) {
        giveUp('callerLeft');
      }
    });
    this.#events.at(request.deadlineMs, () => {
      if (!ended) {
        giveUp('timeLimit');
      }
    });
  }
}
