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
  SoftwareVersion,
} from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import type { ContextDependencies } from '../../src/createContext.js';
import { createContext } from '../../src/createContext.js';
import type { GatewayContext } from '../../src/GatewayContext.js';
import { createVirtualTimers } from './createVirtualTimers.js';
import type { VirtualProcess, VirtualTime } from './VirtualTime.js';

export const SERVICE = brand<ServiceId>('stock');
export const TIME_LIMIT_MS = 4000;
const DOMAIN = brand<FailureDomainId>('d-1');

/**
 * Returns the failure domain of an instance whose name ends with its index.
 *
 * @param instance - name of the instance
 * @param domains - number of failure domains
 */
function domainOf(instance: string, domains: number): FailureDomainId {
  const index = Number(instance.split('-').at(-1));
  return domains > 1 ? brand<FailureDomainId>(`d-${index % domains}`) : DOMAIN;
}

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

/** Route of streams that may be resumed. */
export const STREAM_ROUTE: Route = {
  ...ROUTE,
  id: brand<RouteId>('r-2'),
  prefix: '/two/',
  kind: 'streaming',
  resumable: true,
};

/**
 * @returns a random-looking name, which compresses about as well as an operator's names
 */
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
 * Creates a configuration; two consecutive versions differ in one route.
 *
 * @param version - version of the configuration
 * @param routes - number of its routes
 * @param hasStreams - whether a route of streams is added
 */
export function createConfiguration(
  version: number,
  routes: number,
  hasStreams = false,
): RoutingConfiguration {
  const others = Array.from({ length: routes - 1 }, (_, index) =>
    createRoute(index, TIME_LIMIT_MS + (index === 0 ? version : 0)),
  );
  return {
    version,
    routes: [ROUTE, ...(hasStreams ? [STREAM_ROUTE] : []), ...others],
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

/** @returns a replica of the service, at a fixed address */
export function createReplica(
  name: string,
  leaving = false,
  version = 'v1',
): Replica {
  return {
    id: brand<BackendServerId>(name),
    service: SERVICE,
    address: '10.0.0.1:80',
    failureDomain: DOMAIN,
    slots: 64,
    leaving,
    coldMs: 0,
    softwareVersion: brand<SoftwareVersion>(version),
    bornMs: null,
  };
}

/** @returns the address at which other instances reach an instance */
export function peerAddressOf(instance: string): string {
  return `${instance}:2`;
}

/** @returns an instance as the store lists it */
export function createListedMember(
  instance: string,
  domains = 1,
): ListedMember {
  return {
    id: brand<InstanceId>(instance),
    failureDomain: domainOf(instance, domains),
    callerAddress: `${instance}:1`,
    peerAddress: peerAddressOf(instance),
    state: 'live',
  };
}

/** Options of an instance in a fleet that has duties. */
export interface VirtualDutyOptions {
  readonly settings: DutySettings;
  /** Start time of the process, in Unix milliseconds. */
  readonly startedMs: number;
  readonly timeOfDay: () => number;
}

/** What an instance needs to forward requests. */
export type ForwardingParts = Pick<ContextDependencies, 'connect' | 'dialect'>;

/**
 * Creates the context of an instance in virtual time, without any state.
 *
 * @param instance - name of the instance
 * @param freshWithinMs - time within which changes must take effect, in milliseconds
 * @param time - the clock of all instances
 * @param process - process that the instance runs in
 * @param duties - options for duties; null if the fleet has none
 * @param startedMs - start time of the process, which grows from run to run
 * @param domains - number of failure domains
 * @param forwarding - what it needs to forward requests; if omitted, no headers can be read
 *   or written
 */
export function createVirtualContext(
  instance: string,
  freshWithinMs: number,
  time: VirtualTime,
  process: VirtualProcess,
  duties: VirtualDutyOptions | null = null,
  startedMs = duties?.startedMs ?? 1,
  domains = 1,
  forwarding: ForwardingParts = { dialect: null as never },
): GatewayContext {
  return createContext(
    {
      instance: brand<InstanceId>(instance),
      failureDomain: domainOf(instance, domains),
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
      heartbeatMs: 1000,
      graceMs: 8000,
      maxAddressAgeMs: 5000,
      logLevel: 'info',
    },
    {
      ...forwarding,
      log: SILENT_LOG,
      clock: () => time.nowMs,
      timers: createVirtualTimers(time, process),
      startedMs,
      ...(duties ? { timeOfDay: duties.timeOfDay } : {}),
    },
  );
}
