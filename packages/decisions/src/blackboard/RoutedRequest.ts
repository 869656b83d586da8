import type {
  BackendServerId,
  ClassId,
  ModelId,
  OrganisationId,
  RequestClass,
  RequestId,
  ServiceId,
} from '@jujubecroft/types';

/** Destination of a request: a model on an engine, or a service. */
export type Target =
  | { readonly kind: 'engine'; readonly model: ModelId }
  | { readonly kind: 'service'; readonly service: ServiceId };

/** A validated request without its payload. */
export interface RoutedRequest {
  readonly id: RequestId;
  readonly organisation: OrganisationId;
  readonly requestClass: ClassId;
  readonly target: Target;
  readonly promptTokens: number;
  /** Hash of the prompt prefix, for cache affinity. */
  readonly prefixHash: number;
  readonly maxOutputTokens: number;
  readonly idempotent: boolean;
}

/** State of a request within one instance. */
export type RequestState = 'ended' | 'queued' | 'running';

/**
 * One dispatch of a request to a backend server. Late messages of earlier attempts are
 * recognised by their `number`.
 */
export interface Attempt {
  readonly number: number;
  readonly backendServer: BackendServerId;
  readonly dispatchedAtMs: number;
  /** Number of tokens already delivered to the caller, after which the engine resumes. */
  readonly resumeFrom: number;
}

/** Mutable record of a request on the blackboard. */
export interface RequestRecord {
  readonly request: RoutedRequest;
  readonly rules: RequestClass;
  readonly arrivedAtMs: number;
  /** Estimated length of the response, used until the actual length is known. */
  readonly expectedTokens: number;
  /** Weight of the organisation in fair queueing. */
  readonly weight: number;
  state: RequestState;
  /** Maximum wait in the queue, in milliseconds; set at admission. */
  budgetMs: number;
  /** The current attempt; null while the request is queued. */
  attempt: Attempt | null;
  /** Number of attempts so far, including the current one. */
  attempts: number;
  /** Number of failed attempts that may have run. */
  possiblyRunAttempts: number;
  tokensDelivered: number;
  /** Whether the current attempt has delivered a token. */
  attemptHasTokens: boolean;
  firstTokenAtMs: number | null;
  /** When the request arrived, was last dispatched, or last delivered tokens. */
  lastProgressAtMs: number;
  /** Backend servers on which an attempt of this request failed. */
  readonly failedOn: Set<BackendServerId>;
}
