import type {
  GatewayAttempt,
  GatewayBoard,
  GatewayPolicies,
  GatewayRequest,
  PeerWork,
} from '@jujubecroft/decisions';
import { createGatewayBoard, GatewayRouter } from '@jujubecroft/decisions';
import type {
  BackendServerId,
  FailureDomainId,
  InstanceId,
  Replica,
  RequestId,
} from '@jujubecroft/types';
import { assertDefined, brand, createRandom } from '@jujubecroft/types';

import { EventQueue } from '../simulation/EventQueue.js';
import type { BurstKind } from './burstLoad.js';
import {
  BURST_ENGINE,
  BURST_KINDS,
  MAX_OWN_TOKENS,
  OWN_SPREAD,
  PROMPT_SERVICE,
} from './burstLoad.js';
import type { PromptJob } from './PromptEngine.js';
import { PromptEngine } from './PromptEngine.js';

/** Builds the policies that are compared. */
export type GatewayPolicyFactory = (board: GatewayBoard) => GatewayPolicies;

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

const INSTANCES = 6;
const REPLICAS = 8;
const SECONDS = 24;
const BURST_FROM_S = 6;
const BURST_TO_S = 14;
const DRAIN_S = 20;
/** Instances tell each other of their work this often, and it takes as long to get around. */
const EXCHANGE_MS = 250;
const NETWORK_MS = 1;
const MS_PER_SECOND = 1000;
const DOMAINS = ['a', 'b', 'c'];

function replicaOf(index: number): Replica {
  return {
    id: brand<BackendServerId>(`engine-${index}`),
    service: PROMPT_SERVICE,
    address: `engine-${index}`,
    failureDomain: brand<FailureDomainId>(DOMAINS[index % 3] ?? 'a'),
    slots: BURST_ENGINE.slots,
    leaving: false,
    coldMs: 0,
  };
}

/** Plays one load on several instances of the gateway, on virtual time. */
export class GatewayReplay {
  readonly #events = new EventQueue();
  readonly #engines = new Map<BackendServerId, PromptEngine>();
  readonly #routers: GatewayRouter[] = [];
  readonly #results = new Map<string, KindResult>();
  readonly #random: () => number;
  #requests = 0;

  constructor(
    private readonly createPolicies: GatewayPolicyFactory,
    private readonly seed: number,
  ) {
    this.#random = createRandom(seed);
  }

  /** Thousands of tokens of shared parts that all engines read. */
  get sharedThousandsRead(): number {
    return [...this.#engines.values()].reduce(
      (sum, { sharedTokensRead }) => sum + sharedTokensRead / 1000,
      0,
    );
  }

  /** @returns one result for each kind of request */
  run(): readonly KindResult[] {
    const replicas = Array.from({ length: REPLICAS }, (_, index) =>
      replicaOf(index),
    );
    replicas.forEach(({ id }) => {
      this.#engines.set(id, new PromptEngine(this.#events, BURST_ENGINE));
    });
    Array.from({ length: INSTANCES }).forEach((_, index) => {
      this.#startRouter(index, replicas);
    });
    this.#events.every(EXCHANGE_MS, EXCHANGE_MS, () => {
      this.#exchange();
    });
    BURST_KINDS.forEach(kind => {
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

  #startRouter(index: number, replicas: readonly Replica[]): void {
    const board = createGatewayBoard({
      clock: () => this.#events.nowMs,
      random: createRandom(this.seed * INSTANCES + index),
      instance: brand<InstanceId>(`entry-${index}`),
      failureDomain: brand<FailureDomainId>(DOMAINS[index % 3] ?? 'a'),
      retryBudget: { ratio: 0.2, extra: 50, windowMs: 10_000 },
    });
    const router = new GatewayRouter(board, this.createPolicies(board));
    router.configure({
      version: 1,
      routes: BURST_KINDS.map(({ route }) => route),
      services: [
        {
          id: PROMPT_SERVICE,
          maxConnections: 1000,
          engine: {
            slots: BURST_ENGINE.slots,
            kvCapacityTokens: 700_000,
            tokensPerEvent: BURST_ENGINE.tokensPerEvent,
          },
        },
      ],
      limits: {
        maxHeaderBytes: 1,
        maxBodyBytes: 1,
        headerTimeoutMs: 1,
        idleTimeoutMs: 1,
      },
      organisations: null,
    });
    board.replicas.applySnapshot(
      replicas.map(replica => ({ id: replica.id, rowVersion: 1, replica })),
      1,
      0,
    );
    router.syncReplicas();
    const instances = Array.from({ length: INSTANCES }, (_, other) =>
      brand<InstanceId>(`entry-${other}`),
    );
    router.onInstances(instances);
    this.#routers.push(router);
  }

  /** What instances told is an exchange old when it counts. */
  #exchange(): void {
    const told = this.#routers.map(
      ({ board, ownUses }): readonly [InstanceId, PeerWork] => [
        board.instance,
        { uses: ownUses, demands: board.demand.own },
      ],
    );
    this.#events.after(EXCHANGE_MS, () => {
      this.#routers.forEach(router => {
        told
          .filter(([instance]) => instance !== router.board.instance)
          .forEach(([instance, work]) => {
            router.onPeerWork(instance, work);
          });
      });
    });
  }

  #scheduleNext(kind: BurstKind): void {
    const nowS = this.#events.nowMs / MS_PER_SECOND;
    const inBurst = nowS >= BURST_FROM_S && nowS < BURST_TO_S;
    const perS = kind.perS * (inBurst ? kind.burst : 1);
    const waitMs = (-Math.log(1 - this.#random()) * MS_PER_SECOND) / perS;
    if (this.#events.nowMs + waitMs > SECONDS * MS_PER_SECOND) {
      return;
    }
    this.#events.after(waitMs, () => {
      this.#arrive(kind);
      this.#scheduleNext(kind);
    });
  }

  #requestOf(kind: BurstKind, router: GatewayRouter): GatewayRequest {
    const { route, sharedTokens, things, ownTokens } = kind;
    const nowMs = this.#events.nowMs;
    this.#requests += 1;
    const thing = Math.floor(this.#random() * things);
    const own = this.#drawOwn(ownTokens);
    return {
      id: brand<RequestId>(`q-${this.#requests}`),
      route,
      service: assertDefined(
        router.board.table?.service(PROMPT_SERVICE),
        'the load has one service',
      ),
      organisation: null,
      priority: route.priority,
      prompt: {
        promptTokens: sharedTokens + own,
        maxOutputTokens: kind.outputTokens,
        parts: [
          { id: `${route.id}-${thing}`, tokens: sharedTokens },
          { id: `own-${this.#requests}`, tokens: own },
        ],
        expectedOutputTokens: null,
      },
      arrivedMs: nowMs,
      deadlineMs: nowMs + route.timeoutMs,
      cameBack: false,
    };
  }

  #drawOwn(median: number): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.#random()));
    const normal = radius * Math.cos(2 * Math.PI * this.#random());
    const drawn = Math.ceil(median * Math.exp(OWN_SPREAD * normal));
    return Math.min(MAX_OWN_TOKENS, drawn);
  }

  #arrive(kind: BurstKind): void {
    const at = Math.floor(this.#random() * INSTANCES);
    const router = assertDefined(this.#routers[at], 'drawn below the count');
    const result = assertDefined(
      this.#results.get(kind.route.id),
      'every kind has one',
    );
    const request = this.#requestOf(kind, router);
    result.asked += 1;
    const decision = router.place(request, new Set());
    if (decision.kind === 'refuse') {
      result.refused += 1;
      return;
    }
    const attempt = router.begin(request, decision.placed, 1);
    this.#send(kind, router, attempt, result);
  }

  #send(
    kind: BurstKind,
    router: GatewayRouter,
    attempt: GatewayAttempt,
    result: KindResult,
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
    const job: PromptJob = {
      sharedPart: shared?.id ?? '',
      sharedTokens: shared?.tokens ?? 0,
      ownTokens: own?.tokens ?? 0,
      outputTokens: kind.outputTokens,
      priority: request.priority,
      onEvent: () => {
        const nowMs = this.#events.nowMs;
        if (firstMs === null) {
          firstMs = nowMs;
          const { running, waiting } = engine;
          router.onReported(attempt, { running, waiting, slots: 64 });
        } else {
          longestPauseMs = Math.max(longestPauseMs, nowMs - lastMs);
        }
        lastMs = nowMs;
        router.onBytes(attempt);
      },
      onEnd: () => {
        ended = true;
        router.onEnded(attempt, { kind: 'answered', status: 200 });
        const { latencyTargetMs, gapTargetMs } = request.route;
        const tookMs = (firstMs ?? Infinity) - request.arrivedMs;
        const isOnTime =
          tookMs <= latencyTargetMs && longestPauseMs <= gapTargetMs;
        result[isOnTime ? 'onTime' : 'late'] += 1;
      },
    };
    this.#events.after(NETWORK_MS, () => {
      engine.submit(job);
    });
    this.#events.at(request.deadlineMs, () => {
      if (!ended) {
        ended = true;
        engine.cancel(job);
        router.onEnded(attempt, { kind: 'withdrawn', reason: 'timeLimit' });
        result.cut += 1;
      }
    });
  }
}
