import murmurhash from 'murmurhash';
import type { DutySettings, ListedMember } from '@jujubecroft/decisions';
import { SILENT_LOG } from '@jujubecroft/events';
import type {
  BackendServerId,
  FailureDomainId,
  InstanceId,
  Replica,
  Route,
  RouteId,
  RoutingConfiguration,
  ServiceId,
} from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import { createContext } from '../../src/createContext.js';
import type { GatewayContext } from '../../src/GatewayContext.js';
import { createVirtualTimers } from './createVirtualTimers.js';
import type { VirtualProcess, VirtualTime } from './VirtualTime.js';

export const SERVICE = brand<ServiceId>('stock');
export const TIME_LIMIT_MS = 4000;
const DOMAIN = brand<FailureDomainId>('d-1');

export const ROUTE: Route = {
  id: brand<RouteId>('r-1'),
  host: 'a.example',
  prefix: '/one/',
  kind: 'safe',
  timeoutMs: TIME_LIMIT_MS,
  latencyTargetMs: 300,
  gapTargetMs: 300,
  priority: 1,
  maxAttempts: 1,
  isPublic: true,
  resumable: false,
  shares: [{ service: SERVICE, weight: 1 }],
};

/** Names that look drawn, so that they compress like an operator's. */
function pseudoRandomName(index: number): string {
  return murmurhash.v3(`route ${index}`).toString(36);
}

function createRoute(index: number, timeoutMs: number): Route {
  const name = pseudoRandomName(index);
  return {
    ...ROUTE,
    id: brand<RouteId>(`r-${name}`),
    prefix: `/${pseudoRandomName(index + 0.5)}/`,
    timeoutMs,
  };
}

/**
 * A configuration that differs from the one before in one route.
 *
 * @param version - of it
 * @param routes - that it has
 */
export function createConfiguration(
  version: number,
  routes: number,
): RoutingConfiguration {
  const others = Array.from({ length: routes - 1 }, (_, index) =>
    createRoute(index, TIME_LIMIT_MS + (index === 0 ? version : 0)),
  );
  return {
    version,
    routes: [ROUTE, ...others],
    services: [{ id: SERVICE, maxConnections: 100_000, engine: null }],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_000_000,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
    organisations: null,
  };
}

export function createReplica(name: string, leaving = false): Replica {
  return {
    id: brand<BackendServerId>(name),
    service: SERVICE,
    address: '10.0.0.1:80',
    failureDomain: DOMAIN,
    slots: 64,
    leaving,
    coldMs: 0,
    bornMs: null,
  };
}

/** Where other instances reach one. */
export function peerAddressOf(instance: string): string {
  return `${instance}:2`;
}

export function createListedMember(instance: string): ListedMember {
  return {
    id: brand<InstanceId>(instance),
    failureDomain: DOMAIN,
    callerAddress: `${instance}:1`,
    peerAddress: peerAddressOf(instance),
    state: 'live',
  };
}

/** What an instance needs to take part in the duties of a fleet. */
export interface VirtualDutyOptions {
  readonly settings: DutySettings;
  readonly startedMs: number;
  readonly timeOfDay: () => number;
}

/**
 * The context of an instance on virtual time, which knows nothing yet.
 *
 * @param instance - its name
 * @param freshWithinMs - time in which changes must be in force
 * @param time - the clock of all
 * @param process - that it runs in
 * @param duties - that the fleet has; null for none
 */
export function createVirtualContext(
  instance: string,
  freshWithinMs: number,
  time: VirtualTime,
  process: VirtualProcess,
  duties: VirtualDutyOptions | null = null,
): GatewayContext {
  return createContext(
    {
      instance: brand<InstanceId>(instance),
      failureDomain: DOMAIN,
      callers: { host: instance, port: 1 },
      readiness: null,
      directory: null,
      peers: { host: instance, port: 2 },
      peerAddress: peerAddressOf(instance),
      metrics: null,
      seeds: [],
      duties: duties?.settings ?? null,
      retryBudget: { ratio: 0.2, extra: 50, windowMs: 10_000 },
      freshWithinMs,
      graceMs: 8000,
      maxAddressAgeMs: 5000,
      logLevel: 'info',
    },
    {
      // Requests are placed here, not carried, so nothing is read or written.
      dialect: null as never,
      log: SILENT_LOG,
      clock: () => time.nowMs,
      timers: createVirtualTimers(time, process),
      startedMs: duties?.startedMs ?? 1,
      ...(duties ? { timeOfDay: duties.timeOfDay } : {}),
    },
  );
}
