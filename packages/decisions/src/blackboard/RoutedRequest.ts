import type {
  BackendServerId,
  ClassId,
  ModelId,
  OrganisationId,
  RequestClass,
  RequestId,
  ServiceId,
} from '@jujubecroft/types';

/** What a request is addressed to. */
export type Target =
  | { readonly kind: 'engine'; readonly model: ModelId }
  | { readonly kind: 'service'; readonly service: ServiceId };

/** A validated request as the decision logic sees it; no payload. */
export interface RoutedRequest {
  readonly id: RequestId;
  readonly organisation: OrganisationId;
  readonly requestClass: ClassId;
  readonly target: Target;
  readonly promptTokens: number;
  /** Hash of the leading part of the prompt, the unit of cache affinity. */
  readonly prefixHash: number;
  readonly maxOutputTokens: number;
  readonly idempotent: boolean;
}

/** Life of a request inside one instance. */
export type RequestState = 'ended' | 'queued' | 'running';

/** One try at one backend server. Late messages of older tries are told apart by `number`. */
export interface Attempt {
  readonly number: number;
  readonly backendServer: BackendServerId;
  readonly dispatchedAtMs: number;
  /** Tokens that the caller already holds, so the engine starts behind them. */
  readonly resumeFrom: number;
}

/** Mutable record of a request on the blackboard. */
export interface RequestRecord {
  readonly request: RoutedRequest;
  readonly rules: RequestClass;
  readonly arrivedAtMs: number;
  /** Tokens charged to the queue until the true length is known. */
  readonly expectedTokens: number;
  readonly weight: number;
  state: RequestState;
  /** Longest useful wait in the queue, set at admission. */
  budgetMs: number;
  attempt: Attempt | null;
  attempts: number;
  /** Failed attempts that may have run. */
  costlyAttempts: number;
  tokensDelivered: number;
  /** Whether the present attempt has brought a token. */
  attemptHasTokens: boolean;
  firstTokenAtMs: number | null;
  lastProgressAtMs: number;
  /** Backend servers on which an attempt of this request failed. */
  readonly failedOn: Set<BackendServerId>;
}
