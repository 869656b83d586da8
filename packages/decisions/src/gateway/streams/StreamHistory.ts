import * as z from 'zod';
import type {
  Replica,
  Route,
  ServiceId,
  SoftwareVersion,
} from '@jujubecroft/types';

import { hasResumableStreams } from './hasResumableStreams.js';

/** Maximum number of versions without replicas that are kept for one service. */
const MAX_FORMER_VERSIONS = 8;
/** Unit in which the longest life is kept, so that it seldom changes. */
const LIFE_UNIT_MS = 1000;
/**
 * Factor by which the longest life grows at least. Streams that are continued again and again
 * grow older all the while, and each change is a write.
 */
const LIFE_GROWTH = 1.125;
/** Stands for a version that replicas don't state. */
const UNKNOWN_VERSION = '';

const serviceHistorySchema = z.object({
  fromMs: z.number(),
  leftMs: z.record(z.string(), z.number().nullable()),
});

const routeHistorySchema = z.object({
  service: z.string().nullable(),
  fromMs: z.number(),
});

const streamHistorySchema = z.object({
  longestLifeMs: z.number(),
  services: z.record(z.string(), serviceHistorySchema),
  routes: z.record(z.string(), routeHistorySchema),
});

/** The form of instances that kept the longest time limit of a caller instead. */
const formerHistorySchema = streamHistorySchema
  .omit({ longestLifeMs: true })
  .extend({ longestLimitMs: z.number() })
  .transform(({ longestLimitMs, ...history }) => ({
    ...history,
    longestLifeMs: longestLimitMs,
  }));

/** The versions of a service that streams may have begun at. */
export type ServiceHistory = Readonly<z.infer<typeof serviceHistorySchema>>;

/** The only service that a route has led to for some time. */
export type RouteHistory = Readonly<z.infer<typeof routeHistorySchema>>;

/**
 * Where streams that may be resumed can have begun, as the store keeps it for the time after
 * a loss of all instances. All times are on the store's clock, in milliseconds.
 */
export interface StreamHistory {
  /**
   * Longest known life of a stream within the time limits of its caller, which bounds the
   * age at which streams are continued.
   */
  readonly longestLifeMs: number;
  /**
   * By service: since when all of its versions are known, and for each when its last replica
   * left; null while it has replicas.
   */
  readonly services: Readonly<Record<string, ServiceHistory>>;
  /** By route: its service, null for several, and since when it leads there. */
  readonly routes: Readonly<Record<string, RouteHistory>>;
}

/** What an instance observes at one time. */
export interface StreamObservation {
  readonly routes: readonly Route[];
  readonly replicas: readonly Replica[];
  /** Longest life of a stream that this instance knows, in milliseconds; 0 for none. */
  readonly longestLifeMs: number;
  /** Time at which it is observed, on the store's clock, in milliseconds. */
  readonly storeMs: number;
}

/**
 * Validates the stored form of a history.
 *
 * @param content - parsed JSON content of the row; null if there is no row
 * @returns the history; null if there is no row
 * @throws ZodError if the content is not a valid history
 */
export function parseStreamHistory(content: unknown): StreamHistory | null {
  return content === null
    ? null
    : streamHistorySchema.or(formerHistorySchema).parse(content);
}

/** Key of a route; a route with another host or prefix may get other streams. */
function keyOf({ host, prefix }: Route): string {
  return host + prefix;
}

/** Returns the only service of a route; null if it has several. */
function soleServiceOf({ shares }: Route): ServiceId | null {
  const [share] = shares;
  return share !== undefined && shares.length === 1 ? share.service : null;
}

function observeService(
  known: ServiceHistory | undefined,
  present: ReadonlySet<string>,
  storeMs: number,
): ServiceHistory {
  if (!known) {
    const leftMs = Object.fromEntries([...present].map(id => [id, null]));
    return { fromMs: storeMs, leftMs };
  }
  const left = Object.entries(known.leftMs)
    .filter(([version]) => !present.has(version))
    .map(([version, leftMs]) => [version, leftMs ?? storeMs] as const)
    .sort(([, a], [, b]) => b - a);
  // What is dropped may have been there up to its end.
  const dropped = left.slice(MAX_FORMER_VERSIONS).map(([, leftMs]) => leftMs);
  return {
    fromMs: Math.max(known.fromMs, ...dropped),
    leftMs: Object.fromEntries([
      ...left.slice(0, MAX_FORMER_VERSIONS),
      ...[...present].map(version => [version, null] as const),
    ]),
  };
}

function observeRoute(
  known: RouteHistory | undefined,
  route: Route,
  storeMs: number,
): RouteHistory {
  const service = soleServiceOf(route);
  return known?.service === service ? known : { service, fromMs: storeMs };
}

/** Returns the longest life to be kept, in milliseconds. */
function raiseLife(knownMs: number, observedMs: number): number {
  const raisedMs = Math.max(observedMs, LIFE_GROWTH * knownMs);
  return observedMs <= knownMs
    ? knownMs
    : LIFE_UNIT_MS * Math.ceil(raisedMs / LIFE_UNIT_MS);
}

/** Returns the versions that the replicas of a service have now. */
function presentVersions(
  replicas: readonly Replica[],
  service: string,
): ReadonlySet<string> {
  return new Set(
    replicas
      .filter(replica => replica.service === service)
      .map(({ softwareVersion }) => softwareVersion ?? UNKNOWN_VERSION),
  );
}

/**
 * Adds to a history what an instance observes.
 *
 * @param known - the history so far; null for none
 * @param observation - what the instance observes
 * @returns the history, equal in content to the known one if nothing is new
 */
export function observeStreams(
  known: StreamHistory | null,
  { routes, replicas, longestLifeMs, storeMs }: StreamObservation,
): StreamHistory {
  const resumable = routes.filter(hasResumableStreams);
  // A service to which no such route leads is left out, so that the history doesn't grow with
  // the names that there have been.
  const services = new Set<string>(
    resumable.flatMap(({ shares }) => shares.map(({ service }) => service)),
  );
  return {
    longestLifeMs: raiseLife(known?.longestLifeMs ?? 0, longestLifeMs),
    services: Object.fromEntries(
      [...services].map(service => [
        service,
        observeService(
          known?.services[service],
          presentVersions(replicas, service),
          storeMs,
        ),
      ]),
    ),
    routes: Object.fromEntries(
      resumable.map(route => [
        keyOf(route),
        observeRoute(known?.routes[keyOf(route)], route, storeMs),
      ]),
    ),
  };
}

/** Whether two histories state the same; the order of their entries doesn't count. */
export function isSameHistory(
  a: StreamHistory | null,
  b: StreamHistory,
): boolean {
  const normalise = (history: StreamHistory): string =>
    JSON.stringify([
      history.longestLifeMs,
      Object.entries(history.services)
        .map(([id, { fromMs, leftMs }]) => [
          id,
          fromMs,
          Object.entries(leftMs).sort(([c], [d]) => (c < d ? -1 : 1)),
        ])
        .sort(),
      Object.entries(history.routes)
        .map(([id, { service, fromMs }]) => [id, service, fromMs])
        .sort(),
    ]);
  return a !== null && normalise(a) === normalise(b);
}

/**
 * Returns since when all streams of a route have begun at one version of one service.
 *
 * @param history - the history
 * @param route - the route, which leads to that service now
 * @param service - id of the service
 * @param version - the version of its replicas
 * @returns time on the store's clock, in milliseconds; infinite if the history doesn't show it
 */
export function soleOriginFromMs(
  history: StreamHistory,
  route: Route,
  service: ServiceId,
  version: SoftwareVersion,
): number {
  const ofService = history.services[service];
  if (!ofService || !Object.hasOwn(ofService.leftMs, version)) {
    return Infinity;
  }
  return Math.max(
    ofService.fromMs,
    soleServiceFromMs(history, route, service),
    othersLeftMs(history, service, version),
  );
}

/**
 * Returns when the last replica of any other version of a service left.
 *
 * @param history - the history
 * @param service - id of the service
 * @param version - the version that doesn't count
 * @returns time on the store's clock, in milliseconds; infinite while another version has
 *   replicas, and negatively infinite if the history shows none
 */
export function othersLeftMs(
  { services }: StreamHistory,
  service: ServiceId,
  version: SoftwareVersion,
): number {
  const others = Object.entries(services[service]?.leftMs ?? {})
    .filter(([other]) => other !== version)
    .map(([, leftMs]) => leftMs ?? Infinity);
  return Math.max(-Infinity, ...others);
}

/**
 * Returns since when a route leads to one service only.
 *
 * @param history - the history
 * @param route - the route
 * @param service - id of the service
 * @returns time on the store's clock, in milliseconds; infinite if the history doesn't show it
 */
export function soleServiceFromMs(
  { routes }: StreamHistory,
  route: Route,
  service: ServiceId,
): number {
  const known = routes[keyOf(route)];
  return known?.service === service ? known.fromMs : Infinity;
}
