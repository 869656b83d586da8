import type {
  BackendServerId,
  FailureDomainId,
  OrganisationId,
  RouteId,
  ServiceId,
} from './brand.js';

/**
 * What may be repeated when an attempt fails.
 *
 * `safe` requests may run any number of times, `unsafe` ones at most once per
 * request. `streaming` answers are event streams; they count as unsafe unless
 * their route is resumable.
 */
export type RouteKind = 'safe' | 'streaming' | 'unsafe';

/** Part of a route's traffic that goes to one service. */
export interface ServiceShare {
  readonly service: ServiceId;
  readonly weight: number;
}

/** A rule that sends requests of a host and path prefix to services. */
export interface Route {
  readonly id: RouteId;
  readonly host: string;
  readonly prefix: string;
  readonly kind: RouteKind;
  /** Longest time that a caller is kept waiting, in milliseconds. */
  readonly timeoutMs: number;
  /** Target for the whole answer, or for the first event of a stream. */
  readonly latencyTargetMs: number;
  /** Target for the longest pause between events; 0 where there is none. */
  readonly gapTargetMs: number;
  /** Rank of the traffic; 0 is served first. */
  readonly priority: number;
  /** Backend servers that one request may be sent to, at most. */
  readonly maxAttempts: number;
  /** Whether callers need no key. */
  readonly isPublic: boolean;
  /** Whether a stream may go on elsewhere after its last delivered event. */
  readonly resumable: boolean;
  readonly shares: readonly ServiceShare[];
}

/** What is known of the engines behind a service of language models. */
export interface EngineSpec {
  readonly slots: number;
  readonly kvCapacityTokens: number;
  /** Tokens in one event of a stream. */
  readonly tokensPerEvent: number;
  /** How engines copy their caches; null where they can't. */
  readonly transfer: CacheTransfer | null;
}

/** How engines copy cached prompt parts from each other. */
export interface CacheTransfer {
  readonly bytesPerToken: number;
  /** Speed of an engine's link, in megabits a second. */
  readonly megabitsPerS: number;
}

/** A set of backend servers that are interchangeable. */
export interface RoutedService {
  readonly id: ServiceId;
  /** Connections that one backend server accepts from all instances together. */
  readonly maxConnections: number;
  /** Null for a plain service. */
  readonly engine: EngineSpec | null;
  /** Absent where replicas are not started and ended on order. */
  readonly scaling?: ReplicaScaling;
}

/** How the replicas of a service may be ordered. */
export interface ReplicaScaling {
  /** Bounds on the replicas in each failure domain, of both kinds together. */
  readonly minReplicas: number;
  readonly maxReplicas: number;
  /** Time until a new replica serves, in milliseconds. */
  readonly bootMs: number;
  /** Price of one that may be reclaimed, against one that may not; null for none. */
  readonly spotPrice: number | null;
  /** Price of a replica by failure domain; only there are any to be had. */
  readonly domainPrices: Readonly<Record<FailureDomainId, number>>;
}

/** Bounds on what a caller may send. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  /** Time after which an idle caller connection is closed. */
  readonly idleTimeoutMs: number;
}

/** A group of callers that share keys and limits. */
export interface RoutedOrganisation {
  readonly id: OrganisationId;
  readonly keys: readonly string[];
  /** Goes before the priority of the route; null where it has none. */
  readonly priority: number | null;
}

/** Everything that operators declare about routing, at one version. */
export interface RoutingConfiguration {
  /** Grows with each change, not always by one. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly RoutedService[];
  readonly limits: CallerLimits;
  /** Null where callers need no key at all. */
  readonly organisations: readonly RoutedOrganisation[] | null;
}

/** One run of a backend server, as it announces itself. */
export interface Replica {
  readonly id: BackendServerId;
  readonly service: ServiceId;
  /** Host and port, an IP address. */
  readonly address: string;
  readonly failureDomain: FailureDomainId;
  readonly slots: number;
  /** A leaving replica gets no new requests. */
  readonly leaving: boolean;
  /** How much longer the replica is slow after its start, in milliseconds. */
  readonly coldMs: number;
  /**
   * When this run started, in Unix milliseconds; null where the entry doesn't
   * say. A server that starts again under its old id has a later one.
   */
  readonly bornMs: number | null;
  /** Whether it may be reclaimed at any time; absent means no. */
  readonly spot?: boolean;
}

/** One part of a prompt; requests with equal leading parts share cache. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** What the head of a request says about its prompt. */
export interface PromptFacts {
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** Leading parts first; the last one belongs to the request or its session. */
  readonly parts: readonly PromptPart[];
  /** Caller's guess of the answer's length in tokens; null where not given. */
  readonly expectedOutputTokens: number | null;
}
