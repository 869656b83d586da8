import type { GatewayRequest } from '../BackendLoad.js';
import type { PlacedCandidate } from '../placement/PlacementPolicy.js';

/** Whether a request is let in, with the numbers that say so. */
export interface GatewayVerdict {
  readonly admit: boolean;
  /** Expected time to the first event, with what the request has waited. */
  readonly predictedMs: number;
  /** Longest predicted time that would be let in. */
  readonly allowedMs: number;
  /** Expected time to the end of the answer. */
  readonly predictedWholeMs: number;
  /** The longest of those that would be let in. */
  readonly allowedWholeMs: number;
  /** When to come back, in milliseconds. */
  readonly retryAfterMs: number;
}

/** Decides on a request with its best candidate. */
export type GatewayAdmission = (
  request: GatewayRequest,
  best: PlacedCandidate,
) => GatewayVerdict;
