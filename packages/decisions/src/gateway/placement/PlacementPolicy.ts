import type { BackendLoad, GatewayRequest } from '../BackendLoad.js';

/** A replica with what is expected of it. */
export interface PlacedCandidate {
  readonly load: BackendLoad;
  /** Prompt tokens that it would have to read for the request. */
  readonly unreadTokens: number;
  /** Expected time to the first event, or to the whole answer. */
  readonly predictedMs: number;
  /** Expected time to the end of the answer. */
  readonly predictedWholeMs: number;
  /** Predicted time plus what else speaks against the replica; least wins. */
  readonly cost: number;
}

/**
 * Chooses among replicas that may take a request.
 *
 * @returns all candidates, best first; empty where there are none
 */
export type PlacementPolicy = (
  request: GatewayRequest,
  candidates: readonly BackendLoad[],
) => readonly PlacedCandidate[];
