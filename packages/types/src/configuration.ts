import type {
  BackendServerId,
  ClassId,
  FailureDomainId,
  ModelId,
  OrganisationId,
  ServiceId,
} from './brand.js';

/** Service tier; 1 is served first. */
export type Tier = 1 | 2 | 3 | 4;

/** Rates that one organisation may use, over all instances together. */
export interface RateLimits {
  readonly requestsPerSecond: number;
  readonly tokensPerSecond: number;
}

export interface Organisation {
  readonly kind: 'organisation';
  readonly id: OrganisationId;
  /** SHA-256 of the organisation key, in hexadecimal. */
  readonly keySha256: string;
  /** Weight of the organisation inside one class queue. */
  readonly weight: number;
  readonly limits: RateLimits;
}

export interface RequestClass {
  readonly kind: 'requestClass';
  readonly id: ClassId;
  readonly tier: Tier;
  readonly idempotent: boolean;
  /** Target for the first token, or for the whole answer of a plain service. */
  readonly firstTokenTargetMs: number;
  readonly betweenTokensTargetMs: number;
  /** Longest time in the queue before an honest refusal. */
  readonly maxQueueMs: number;
  /** Share of dispatched work that the class gets even under load from higher tiers. */
  readonly guaranteedShare: number;
  readonly maxOutputTokens: number;
}

export interface ModelVersion {
  readonly kind: 'modelVersion';
  readonly id: ModelId;
  readonly version: string;
}

export interface BackendServer {
  readonly kind: 'backendServer';
  readonly id: BackendServerId;
  readonly url: string;
  readonly failureDomain: FailureDomainId;
  /** Model ids that an engine serves; empty for a plain service. */
  readonly models: readonly ModelId[];
  /** Plain-service names; empty for an engine. */
  readonly services: readonly ServiceId[];
  /** Concurrent requests at which the server still meets its targets; the first guess only. */
  readonly capacity: number;
  readonly checksFencing: boolean;
  /** A leaving server gets no new work. */
  readonly leaving: boolean;
}

export type Entity = BackendServer | ModelVersion | Organisation | RequestClass;
export type EntityKind = Entity['kind'];

/** All declared entities at one revision. Revisions only grow. */
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

/** One accepted change, as the audit trail keeps it. */
export interface AuditEntry {
  readonly revision: number;
  readonly changeId: string;
  readonly operator: string;
  readonly atMs: number;
  readonly action: 'declare' | 'drain' | 'remove';
  readonly entityKind: EntityKind;
  readonly entityId: string;
  readonly before: Entity | null;
  readonly after: Entity | null;
}
