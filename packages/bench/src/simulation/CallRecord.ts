import type { Arrival } from './drawArrivals.js';

/** State and progress of one call in one run. */
export interface CallRecord {
  readonly arrival: Arrival;
  state: 'ended' | 'open';
  /** Tokens delivered to the caller. */
  tokens: number;
  /** Virtual time of the first token; 0 before it. */
  firstTokenAtMs: number;
  lastTokenAtMs: number;
  /** Number of times that the call was started on a plain service. */
  runs: number;
}

/**
 * Creates the record of a call that has just arrived.
 *
 * @param arrival - the call
 * @returns an open record without tokens
 */
export function createCallRecord(arrival: Arrival): CallRecord {
  return {
    arrival,
    state: 'open',
    tokens: 0,
    firstTokenAtMs: 0,
    lastTokenAtMs: 0,
    runs: 0,
  };
}
