import type { Arrival } from './drawArrivals.js';

/** What happened to one call in one run. */
export interface CallRecord {
  readonly arrival: Arrival;
  state: 'ended' | 'open';
  tokens: number;
  firstTokenAtMs: number;
  lastTokenAtMs: number;
  /** Times that the call was started at a plain service. */
  runs: number;
}

/**
 * Starts the record of a call.
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
