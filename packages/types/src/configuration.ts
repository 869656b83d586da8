import type {
  BackendServerId,
  ClassId,
  FailureDomainId,
  ModelId,
  OrganisationId,
  ServiceId,
} from './brand.js';

/** Service tier, from 1 (served first) to 4 (served last). */
export type Tier = 1 | 2 | 3 | 4;

/** Rate limits of one organisation, summed over all instances. */
export interface RateLimits {
  readonly requestsPerSecond: number;
  readonly tokensPerSecond: number;
}

/** A customer that sends requests with its own key. */
export interface Organisation {
  readonly kind: 'organisation';
  readonly id: OrganisationId;
  /** SHA-256 of the organisation key, in hexadecimal. */
  readonly keySha256: string;
  /** Weight among the organisations that share the queue of a request class. */
  readonly weight: number;
  readonly limits: RateLimits;
}

/** Targets and limits for requests of one kind. */
export interface RequestClass {
  readonly kind: 'requestClass';
  readonly id: ClassId;
  readonly tier: Tier;
  readonly idempotent: boolean;
  /** Target for the first token, or for the complete answer of a plain service. */
  readonly firstTokenTargetMs: number;
  readonly betweenTokensTargetMs: number;
  /** Longest time in the queue; the request is refused afterwards. */
  readonly maxQueueMs: number;
  /** Share of dispatched work that is reserved for the class under load from higher tiers. */
  readonly guaranteedShare: number;
  readonly maxOutputTokens: number;
}

/** The version of a model that is to be served. */
export interface ModelVersion {
  readonly kind: 'modelVersion';
  readonly id: ModelId;
  readonly version: string;
}

/** A server that runs requests: an engine (language models) or a plain service. */
export interface BackendServer {
  readonly kind: 'backendServer';
  readonly id: BackendServerId;
  readonly url: string;
  readonly failureDomain: FailureDomainId;
  /** Ids of the models that an engine serves; empty for a plain service. */
  readonly models: readonly ModelId[];
  /** Names of the plain services that the server offers; empty for an engine. */
  readonly services: readonly ServiceId[];
  /** Initial estimate of the concurrent requests at which the server meets its targets. */
  readonly capacity: number;
  /** Whether the server rejects requests with an outdated fencing token. */
  readonly checksFencing: boolean;
  /** Whether the server is being drained: it gets no new requests. */
  readonly leaving: boolean;
}

export type Entity = BackendServer | ModelVersion | Organisation | RequestClass;
export type EntityKind = Entity['kind'];

/** All declared entities at one revision. Revisions increase monotonically. */
export interface Configuration {
  readonly revision: number;
  readonly organisations: readonly Organisation[];
  readonly requestClasses: readonly RequestClass[];
  readonly modelVersions: readonly ModelVersion[];
  readonly backendServers: readonly BackendServer[];
}

export const EMPTY_CONFIGURATION: Configuration = {
  revision: 0,
  organisations: [],
  requestClasses: [],
  modelVersions: [],
  backendServers: [],
};

/** One accepted change, as stored in the audit trail. */
export interface AuditEntry {
  readonly revision: number;
  readonly changeId: string;
  readonly operator: string;
  readonly atMs: number;
  readonly action: 'declare' | 'drain' | 'remove';
  readonly entityKind: EntityKind;
  readonly entityId: string;
  /** The entity before the change; null where it did not exist. */
  readonly before: Entity | null;
  /** The entity after the change; null where the change removed it. */
  readonly after: Entity | null;
}
