import type { GatewayRequest } from '../BackendLoad.js';
import type { PlacedCandidate } from '../placement/PlacementPolicy.js';

/** Whether a request is let in, with the numbers that say so. */
export interface GatewayVerdict {
  readonly admit: boolean;
  readonly predictedMs: number;
  /** Longest predicted time that would be let in. */
  readonly allowedMs: number;
  /** When to come back, in milliseconds. */
  readonly retryAfterMs: number;
}

/** Decides on a request with its best candidate. */
export type GatewayAdmission = (
  request: GatewayRequest,
  best: PlacedCandidate,
) => GatewayVerdict;
