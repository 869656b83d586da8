import type { BackendServer } from '@jujubecroft/types';

/** A load report as the backend server published it; it lags behind. */
export interface LoadReport {
  /** When the backend server took the reading. */
  readonly takenAtMs: number;
  readonly running: number;
  readonly waiting: number;
}

/** What one instance knows of one backend server. */
export interface BackendView {
  server: BackendServer;
  /** Requests of this instance that are on the server now. */
  inFlight: number;
  /** Concurrency that this instance allows itself on the server. */
  limit: number;
  /** Smoothed time between tokens in milliseconds, as observed by this instance. */
  betweenTokensMs: number;
  /** Smoothed time from dispatch to first token in milliseconds. */
  firstTokenMs: number;
  /** Observations since the limit was last adapted. */
  samples: number;
  lastAdaptedAtMs: number;
  report: LoadReport | null;
  /** Own requests in flight when the report was taken. */
  ownAtReport: number;
  /** Recent own in-flight counts, to line reports up with the past. */
  readonly history: InFlightSample[];
  /** Tightest targets of the classes that were sent here, in milliseconds. */
  tightestFirstTokenMs: number;
  tightestBetweenTokensMs: number;
  consecutiveFailures: number;
  /** No work but probes before this time. */
  avoidUntilMs: number;
  /** Slower than its peers; gets only probes. */
  straggler: boolean;
  lastProbeAtMs: number;
  /** Prefixes recently sent here, most recent last. */
  readonly prefixes: Map<number, number>;
}

export interface InFlightSample {
  readonly atMs: number;
  readonly inFlight: number;
}

/**
 * Creates the view of a server about which nothing is known yet.
 *
 * @param server - the declared server
 * @param initialLimit - first guess of the concurrency of this instance there
 * @returns an optimistic view
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
    ownAtReport: 0,
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
