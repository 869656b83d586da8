import type {
  BackendServerId,
  FailureDomainId,
  InstanceId,
  PromptPart,
  Replica,
  RequestFingerprint,
  RequestId,
  Route,
  RouteId,
  RoutingConfiguration,
  ServiceId,
  SoftwareVersion,
} from '@jujubecroft/types';
import { brand, createRandom } from '@jujubecroft/types';

import type {
  GatewayBoard,
  GatewayBoardOptions,
  GatewayRequest,
} from '../../../src/index.js';
import {
  createGatewayBoard,
  defaultGatewayPolicies,
  GatewayRouter,
  StoreClock,
} from '../../../src/index.js';

export const SERVICE = brand<ServiceId>('chat');
export const PLAIN = brand<ServiceId>('stock');

/** A clock that only advances on request. */
export interface ManualClock {
  readonly now: () => number;
  readonly advance: (ms: number) => void;
}

export function manualClock(): ManualClock {
  let nowMs = 1000;
  return {
    now: () => nowMs,
    advance: ms => {
      nowMs += ms;
    },
  };
}

/**
 * Creates a store clock that has just been read and runs like a local clock.
 */
export function storeClockOn(clock: ManualClock): StoreClock {
  const storeClock = new StoreClock(clock.now);
  storeClock.read(clock.now(), clock.now());
  return storeClock;
}

export function route(overrides: Partial<Route> = {}): Route {
  return {
    id: brand<RouteId>('r-1'),
    host: 'a.example',
    prefix: '/one/',
    kind: 'streaming',
    timeoutMs: 15_000,
    latencyTargetMs: 2000,
    gapTargetMs: 1000,
    priority: 1,
    maxAttempts: 1,
    isPublic: false,
    resumable: false,
    shares: [{ service: SERVICE, weight: 1 }],
    ...overrides,
  };
}

export function configuration(
  routes: readonly Route[],
  version = 1,
): RoutingConfiguration {
  return {
    version,
    routes,
    services: [
      {
        id: SERVICE,
        maxConnections: 360,
        engine: {
          slots: 64,
          kvCapacityTokens: 700_000,
          tokensPerEvent: 5,
          transfer: null,
        },
      },
      { id: PLAIN, maxConnections: 96, engine: null },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_000_000,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
    organisations: null,
  };
}

export function replica(
  name: string,
  overrides: Partial<Replica> = {},
): Replica {
  return {
    id: brand<BackendServerId>(name),
    service: SERVICE,
    address: '127.0.0.1:1',
    failureDomain: brand<FailureDomainId>('d-1'),
    slots: 64,
    leaving: false,
    coldMs: 0,
    softwareVersion: brand<SoftwareVersion>('v1'),
    bornMs: null,
    ...overrides,
  };
}

/** A router with a configuration and replicas. */
export interface GatewayFixture {
  readonly clock: ManualClock;
  readonly board: GatewayBoard;
  readonly router: GatewayRouter;
  readonly request: (
    of: Route,
    parts?: readonly PromptPart[],
    overrides?: Partial<GatewayRequest>,
  ) => GatewayRequest;
}

export function gatewayFixture(
  routes: readonly Route[],
  replicas: readonly Replica[],
  options: Partial<GatewayBoardOptions> = {},
): GatewayFixture {
  const clock = manualClock();
  const board = createGatewayBoard({
    clock: clock.now,
    random: createRandom(7),
    instance: brand<InstanceId>('i-1'),
    failureDomain: brand<FailureDomainId>('d-1'),
    retryBudget: { ratio: 0.2, extra: 50, windowMs: 10_000 },
    ...options,
  });
  const router = new GatewayRouter(board, defaultGatewayPolicies(board));
  router.configure(configuration(routes));
  board.replicas.applySnapshot(
    replicas.map(entry => ({ id: entry.id, rowVersion: 1, replica: entry })),
    1,
    0,
  );
  router.syncReplicas();
  let count = 0;
  return {
    clock,
    board,
    router,
    request: (of, parts = [], overrides = {}) => {
      count += 1;
      const { table } = board;
      const service = table?.service(of.shares[0]?.service ?? SERVICE);
      if (!table || !service) {
        throw new Error('the route has no declared service');
      }
      return {
        id: brand<RequestId>(`q-${count}`),
        route: of,
        service,
        organisation: null,
        priority: table.priorities(service.id).positionOf(of, null),
        prompt:
          parts.length === 0
            ? null
            : {
                promptTokens: parts.reduce((sum, part) => sum + part.tokens, 0),
                maxOutputTokens: 400,
                parts,
                expectedOutputTokens: null,
              },
        arrivedMs: clock.now(),
        deadlineMs: clock.now() + of.timeoutMs,
        isCallerRetry: false,
        binding: null,
        resumption: null,
        fingerprint: () => brand<RequestFingerprint>(`f-${count}`),
        partKeys: () => [],
        ...overrides,
      };
    },
  };
}
