import type { GatewayRequest } from '../BackendLoad.js';
import type { PlacedCandidate } from '../placement/PlacementPolicy.js';

/** Whether a request is admitted, with the figures behind the decision. */
export interface GatewayVerdict {
  readonly admit: boolean;
  /**
   * Predicted time from arrival to the first event, in milliseconds, including
   * the time already waited.
   */
  readonly predictedMs: number;
  /** Largest `predictedMs` at which the request is admitted. */
  readonly allowedMs: number;
  /** Predicted time until the answer is complete, in milliseconds. */
  readonly predictedWholeMs: number;
  /** Largest `predictedWholeMs` at which the request is admitted. */
  readonly allowedWholeMs: number;
  /** Time after which the caller should retry, in milliseconds. */
  readonly retryAfterMs: number;
}

/** Decides whether a request is admitted, given its best candidate replica. */
export type GatewayAdmission = (
  request: GatewayRequest,
  best: PlacedCandidate,
) => GatewayVerdict;
