import type { Replica } from '@jujubecroft/types';

import type { BackendLoad, GatewayRequest } from '../BackendLoad.js';

/**
 * Prompt parts that a replica copies from another replica's cache before it
 * reads the rest.
 */
export interface CacheFetch {
  readonly from: Replica;
  /** Tokens that are expected to be copied. */
  readonly tokens: number;
  /** Expected duration of the copy, in milliseconds. */
  readonly copyMs: number;
  /** Whether this instance knows that the other replica caches them. */
  readonly isKnown: boolean;
}

/** A replica with the predictions for a request that is placed there. */
export interface PlacedCandidate {
  readonly load: BackendLoad;
  /** Prompt tokens of the request that the replica would have to read. */
  readonly unreadTokens: number;
  /** Prompt tokens to be read there until the request's own prompt is read. */
  readonly tokensAhead: number;
  /** Null if nothing is copied. */
  readonly fetch: CacheFetch | null;
  /** Whether the replica serves it after requests that can still be on time. */
  readonly isDeferred: boolean;
  /**
   * Predicted time to the first event, or to the complete answer of a plain
   * service, in milliseconds.
   */
  readonly predictedMs: number;
  /** Part of `predictedMs` in which the request's own prompt is read. */
  readonly ownReadMs: number;
  /** Predicted time until the answer is complete, in milliseconds. */
  readonly predictedWholeMs: number;
  /** Predicted time plus penalties, in milliseconds; the lowest wins. */
  readonly cost: number;
}

/**
 * Ranks the replicas that may take a request.
 *
 * With `isDeferred` the request is late anyway, and everything that is served
 * before a late request counts as ahead of it.
 *
 * @returns all candidates, best first; empty if there are none
 */
export type PlacementPolicy = (
  request: GatewayRequest,
  candidates: readonly BackendLoad[],
  isDeferred: boolean,
) => readonly PlacedCandidate[];
