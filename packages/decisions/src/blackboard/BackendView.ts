import type { BackendServer } from '@jujubecroft/types';

/** A load report published by a backend server; it lags behind the actual load. */
export interface LoadReport {
  /** When the backend server measured the load, in milliseconds. */
  readonly takenAtMs: number;
  readonly running: number;
  readonly waiting: number;
}

/** Local view of one backend server. */
export interface BackendView {
  server: BackendServer;
  /** Requests of this instance that are in flight on the server. */
  inFlight: number;
  /** Maximum concurrency of this instance on the server. */
  limit: number;
  /** Smoothed time between tokens in milliseconds, as observed by this instance. */
  betweenTokensMs: number;
  /** Smoothed time from dispatch to first token in milliseconds. */
  firstTokenMs: number;
  /** Observations since the limit was last adapted. */
  samples: number;
  lastAdaptedAtMs: number;
  report: LoadReport | null;
  /** Requests of this instance in flight when the report was taken. */
  ownInFlightAtReport: number;
  /** Recent in-flight counts of this instance, for comparison with delayed reports. */
  readonly history: InFlightSample[];
  /** Strictest latency targets of the classes dispatched to the server, in milliseconds. */
  tightestFirstTokenMs: number;
  tightestBetweenTokensMs: number;
  consecutiveFailures: number;
  /** Until this time the server receives only probe requests. */
  avoidUntilMs: number;
  /** Whether the server is slower than its peers and receives only probe requests. */
  straggler: boolean;
  lastProbeAtMs: number;
  /** Prompt tokens by hash of the prompt prefix, for recent requests; most recent last. */
  readonly prefixes: Map<number, number>;
}

/** In-flight count of this instance on a server at one point in time. */
export interface InFlightSample {
  readonly atMs: number;
  readonly inFlight: number;
}

/**
 * Creates the view of a server that has not been observed yet.
 *
 * @param server - the declared server
 * @param initialLimit - initial maximum concurrency of this instance on the server
 * @returns a view without load, failures or latency samples
 */
export function createBackendView(
  server: BackendServer,
  initialLimit: number,
): BackendView {
  return {
    server,
    inFlight: 0,
    limit: initialLimit,
    betweenTokensMs: 0,
    firstTokenMs: 0,
    samples: 0,
    lastAdaptedAtMs: 0,
    report: null,
    ownInFlightAtReport: 0,
    history: [],
    tightestFirstTokenMs: Infinity,
    tightestBetweenTokensMs: Infinity,
    consecutiveFailures: 0,
    avoidUntilMs: 0,
    straggler: false,
    lastProbeAtMs: 0,
    prefixes: new Map(),
  };
}
