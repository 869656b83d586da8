import type {
  BackendServerId,
  FailureDomainId,
  OrganisationId,
  RouteId,
  ServiceId,
  SoftwareVersion,
} from './brand.js';

/**
 * Whether a failed attempt may be retried.
 *
 * A `safe` request may be executed any number of times, an `unsafe` one at most
 * once. `streaming` requests are answered with an event stream; they are treated
 * as unsafe unless their route is resumable.
 */
export type RouteKind = 'safe' | 'streaming' | 'unsafe';

/** A service's weight in the traffic split of a route. */
export interface ServiceShare {
  readonly service: ServiceId;
  readonly weight: number;
}

/** A rule that maps requests by host and path prefix to services. */
export interface Route {
  readonly id: RouteId;
  readonly host: string;
  readonly prefix: string;
  readonly kind: RouteKind;
  /** Longest time until the caller gets an answer, in milliseconds. */
  readonly timeoutMs: number;
  /** Target for the complete answer, or for the first event of a stream. */
  readonly latencyTargetMs: number;
  /** Target for the longest pause between events of a stream; 0 for no target. */
  readonly gapTargetMs: number;
  /** Priority of the traffic; 0 is served first. */
  readonly priority: number;
  /** Maximum number of backend servers to which one request is sent. */
  readonly maxAttempts: number;
  /** Whether requests are accepted without a key. */
  readonly isPublic: boolean;
  /** Whether another server may resume a stream after the last delivered event. */
  readonly resumable: boolean;
  readonly shares: readonly ServiceShare[];
}

/** Capacity and features of the engines of a language-model service. */
export interface EngineSpec {
  /** Requests that one engine runs concurrently. */
  readonly slots: number;
  /** Size of the key-value cache of one engine, in tokens. */
  readonly kvCapacityTokens: number;
  /** Number of tokens per stream event. */
  readonly tokensPerEvent: number;
  /** Null where engines cannot copy cache content from each other. */
  readonly transfer: CacheTransfer | null;
}

/** Cost of copying cached prompt parts from one engine to another. */
export interface CacheTransfer {
  readonly bytesPerToken: number;
  /** Bandwidth of an engine's network link, in megabits per second. */
  readonly megabitsPerS: number;
}

/** A set of interchangeable backend servers. */
export interface RoutedService {
  readonly id: ServiceId;
  /** Connections that one backend server accepts, summed over all instances. */
  readonly maxConnections: number;
  /** Null for a plain service. */
  readonly engine: EngineSpec | null;
  /** Absent where the number of replicas is not scaled automatically. */
  readonly scaling?: ReplicaScaling;
}

/** Limits and prices for scaling the replicas of a service. */
export interface ReplicaScaling {
  /** Minimum number of replicas in each failure domain, spot and regular ones together. */
  readonly minReplicas: number;
  /** Maximum number of replicas in each failure domain, spot and regular ones together. */
  readonly maxReplicas: number;
  /** Time from the order until a new replica serves requests, in milliseconds. */
  readonly bootMs: number;
  /** Price of a spot replica relative to a regular one; null where there are no spot replicas. */
  readonly spotPrice: number | null;
  /** Price of a replica by failure domain; others offer no replicas. */
  readonly domainPrices: Readonly<Record<FailureDomainId, number>>;
}

/** Limits on what callers may send. */
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
  /** Orders requests of routes that have the same priority; null where the organisation has none. */
  readonly priority: number | null;
}

/** The routing configuration that operators declare, at one version. */
export interface RoutingConfiguration {
  /** Increases with each change, not necessarily by one. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly RoutedService[];
  readonly limits: CallerLimits;
  /** Null where no caller needs a key. */
  readonly organisations: readonly RoutedOrganisation[] | null;
}

/** One run of a backend server, as the server registers itself. */
export interface Replica {
  readonly id: BackendServerId;
  readonly service: ServiceId;
  /** IP address and port. */
  readonly address: string;
  readonly failureDomain: FailureDomainId;
  /** Release of its software; null where the entry does not say. */
  readonly softwareVersion: SoftwareVersion | null;
  readonly slots: number;
  /** Whether the replica is shutting down: it gets no new requests. */
  readonly leaving: boolean;
  /** Remaining warm-up time, in which the replica is slower, in milliseconds. */
  readonly coldMs: number;
  /**
   * When this run started, in Unix milliseconds; null where the entry does not
   * say. It distinguishes the runs of a server that restarts under the same id.
   */
  readonly bornMs: number | null;
  /** Whether the platform may reclaim the replica at any time; absent means no. */
  readonly spot?: boolean;
}

/** One part of a prompt. Requests with the same leading parts can share cached tokens. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** What the headers of a request state about its prompt. */
export interface PromptMetadata {
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** From the first part of the prompt on; the last is specific to the request or its session. */
  readonly parts: readonly PromptPart[];
  /** The caller's estimate of the answer's length, in tokens; null where absent. */
  readonly expectedOutputTokens: number | null;
}
