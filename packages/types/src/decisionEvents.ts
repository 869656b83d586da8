import type {
  BackendServerId,
  ClassId,
  InstanceId,
  OrganisationId,
  RequestId,
} from './brand.js';
import type { ResultCodeId } from './resultCodes.js';

/** Fields that all decision events have. */
export interface DecisionBase {
  readonly atMs: number;
  readonly instance: InstanceId;
  readonly request: RequestId;
  readonly organisation: OrganisationId;
  readonly requestClass: ClassId;
}

/** A candidate backend server with the figures by which it was compared. */
export interface CandidateView {
  readonly backendServer: BackendServerId;
  readonly score: number;
  readonly inFlight: number;
  readonly limit: number;
  readonly verdict: 'chosen' | 'full' | 'straggler' | 'unfit' | 'worse';
}

/** One decision with the figures it was based on. */
export type Decision =
  | {
      readonly kind: 'admitted';
      readonly predictedWaitMs: number;
      readonly budgetMs: number;
      readonly expectedTokens: number;
    }
  | {
      readonly kind: 'cancelled';
      /** Null while the request was still queued. */
      readonly backendServer: BackendServerId | null;
      readonly reason: 'callerLeft' | 'migrated' | 'silent';
      readonly tokensDelivered: number;
    }
  | {
      readonly kind: 'failed';
      readonly backendServer: BackendServerId;
      readonly code: ResultCodeId;
      readonly tokensDelivered: number;
    }
  | {
      readonly kind: 'finished';
      readonly backendServer: BackendServerId;
      readonly tokens: number;
      readonly firstTokenMs: number;
      readonly totalMs: number;
    }
  | { readonly kind: 'queued'; readonly queueLength: number }
  | {
      readonly kind: 'resumed';
      readonly backendServer: BackendServerId;
      readonly fromToken: number;
      readonly attempt: number;
    }
  | {
      readonly kind: 'retried';
      readonly backendServer: BackendServerId;
      readonly attempt: number;
      readonly budgetLeft: number;
    }
  | {
      readonly kind: 'routed';
      readonly backendServer: BackendServerId;
      readonly candidates: readonly CandidateView[];
      readonly queuedMs: number;
      /** Dispatched from the guaranteed share of its class, not by its tier. */
      readonly guaranteed: boolean;
    }
  | {
      readonly kind: 'shed';
      readonly code: ResultCodeId;
      readonly predictedWaitMs: number;
      readonly budgetMs: number;
      readonly retryAfterMs: number;
    };

/** A decision with the request that it concerns. */
export interface DecisionEvent extends DecisionBase {
  readonly decision: Decision;
}
export type DecisionKind = Decision['kind'];
