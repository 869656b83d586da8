/**
 * Observations that a soak collects from outside the programs under test: the
 * callers' requests and responses, the requests that reached replicas, and the
 * faults injected.
 *
 * All times are in milliseconds, as returned by `soakNow`.
 */

/**
 * Kind of a request, with a route for each.
 *
 * `safe` and `resumable` requests may be repeated; `unsafe` and `stream` requests
 * may not. `probe` requests ask whether a configuration is in force.
 */
export type SoakKind = 'probe' | 'resumable' | 'safe' | 'stream' | 'unsafe';

/** A request as the caller sent it. */
export interface SentRequest {
  readonly id: string;
  readonly kind: SoakKind;
  /** Index of the gateway that the caller was connected to. */
  readonly gateway: number;
  /** Incarnation of that gateway's process. */
  readonly incarnation: number;
  readonly sentMs: number;
  readonly timeLimitMs: number;
  readonly target: string;
  readonly body: string;
  /** Organisation that the caller's key belongs to. */
  readonly organisation: string;
  /** Version of the configuration that a probe asks for; null for other kinds. */
  readonly version: number | null;
  /** Stream that the request continues; null for all others. */
  readonly continues: ContinuedStream | null;
}

/** A stream of which a caller requests the rest. */
export interface ContinuedStream {
  /** Request that brought its first event. */
  readonly first: string;
  /** Number of the last event that the caller has. */
  readonly after: number;
  /** Whether the caller names the first request. */
  readonly isNamed: boolean;
}

/** A usage report that the holder of the duty made for all gateways, as accepted. */
export interface DutyCall {
  /** Gateway that made the call. */
  readonly holder: string;
  /** Fencing token of the call. */
  readonly token: number;
  /** Index of the reporting window. */
  readonly window: number;
  /** Counts reported for the window, as JSON text. */
  readonly counts: string;
}

/** A gateway process that ended although the soak did not end it. */
export interface OwnEnd {
  /** Index of the gateway. */
  readonly gateway: number;
  /** Exit code, or the signal that ended the process. */
  readonly exit: string;
}

/** Outcome of a request as the caller observed it. */
export interface ObservedResponse {
  readonly id: string;
  readonly endedMs: number;
  /** Null if no response head was received. */
  readonly status: number | null;
  readonly body: string;
  /** Whether the response was received to its regular end. */
  readonly whole: boolean;
  /** Time at which the caller aborted the request; null if it did not. */
  readonly leftMs: number | null;
  /** Stamp of the execution that produced the response; null if it has none. */
  readonly stamp: string | null;
}

/** An entry that a replica writes to its notes file. */
export type ReplicaNote =
  | {
      readonly type: 'got';
      readonly id: string;
      /** Name of the replica's incarnation, as in its store entry and its stamps. */
      readonly replica: string;
      readonly service: string;
      readonly atMs: number;
      /** False if the replica refused the request. */
      readonly ran: boolean;
      /** Pause that the replica requested with the refusal; null if none. */
      readonly pauseMs: number | null;
      readonly target: string;
      readonly body: string;
      readonly organisation: string | null;
      readonly timeLeftMs: number | null;
      /** Number of the last event that the caller has received; 0 for a new stream. */
      readonly after: number;
      /** Time at which the work is expected to end. */
      readonly endsMs: number;
    }
  | {
      readonly type: 'closed';
      readonly id: string;
      readonly replica: string;
      readonly atMs: number;
      /** Whether the whole response had been written by then. */
      readonly whole: boolean;
    }
  | {
      readonly type: 'endless';
      readonly id: string;
      readonly replica: string;
      /** Time at which the replica began to send a response without end. */
      readonly fromMs: number;
      /** Time at which its connection closed. */
      readonly atMs: number;
    }
  | {
      readonly type: 'leaving';
      readonly replica: string;
      /** Time from which all responses announce that the replica is leaving. */
      readonly atMs: number;
    }
  | {
      readonly type: 'silent';
      readonly replica: string;
      /** Time from which the replica writes nothing. */
      readonly atMs: number;
      readonly forMs: number;
    }
  | {
      readonly type: 'limit';
      readonly replica: string;
      readonly atMs: number;
      /** New rate limit in requests per second; null for no limit. */
      readonly perS: number | null;
    };

export type LimitNote = Extract<ReplicaNote, { type: 'limit' }>;
export type ReceivedNote = Extract<ReplicaNote, { type: 'got' }>;
export type ClosedNote = Extract<ReplicaNote, { type: 'closed' }>;

/** Component that a fault or planned change affects. */
export interface FaultTarget {
  readonly component: 'configuration' | 'gateway' | 'replica' | 'store';
  /** Index of the gateway or replica; null if not limited to one. */
  readonly index: number | null;
}

/** An injected fault or planned change, with the span of its direct effects. */
export interface InjectedFault {
  readonly kind: string;
  readonly target: FaultTarget;
  readonly fromMs: number;
  /** Infinity until the fault has ended. */
  toMs: number;
  /** Whether it is a planned operation rather than a failure. */
  readonly planned: boolean;
}

/** A replica whose entry stopped being ready, as acknowledged by the store. */
export interface ReplicaDeparture {
  readonly replica: string;
  readonly ackedMs: number;
  /**
   * Time at which the entry was ready again, for example after a pause in which it
   * expired; Infinity if it never was.
   */
  returnedMs: number;
}

/** A configuration that was written to the store. */
export interface ConfigurationWrite {
  readonly version: number;
  /** Time at which the store acknowledged the write. */
  readonly ackedMs: number;
  /** Shortest time limit of its routes. */
  readonly shortestTimeoutMs: number;
  /** Time at which a later configuration removed its probe route, or Infinity. */
  routeRemovedMs: number;
}

/**
 * Bounds that the invariants are checked against. Some are also settings of the
 * gateways.
 */
export interface SoakBounds {
  /** Time without faults after which time bounds apply to a gateway. */
  readonly faultFreeMs: number;
  /** Time after which a leaving replica gets no more requests. */
  readonly drainMs: number;
  /** Time that a stopping gateway has to finish its requests. */
  readonly graceMs: number;
  /** Time until an acknowledged configuration is in force at every gateway. */
  readonly configurationPropagationMs: number;
  /** Retries per request that the shared retry budget allows. */
  readonly retryRatio: number;
  /** Retries in a window that are allowed regardless of the number of requests. */
  readonly retryExtra: number;
  /** Length of the window over which retries are counted. */
  readonly retryWindowMs: number;
  /** Maximum number of replicas that a request may be sent to. */
  readonly attempts: number;
  /** Tolerance added to each time bound, for scheduling delays of the machine. */
  readonly slackMs: number;
}

/** All observations of one run. */
export interface Evidence {
  readonly bounds: SoakBounds;
  readonly sent: readonly SentRequest[];
  /** Responses by request id. */
  readonly answers: ReadonlyMap<string, ObservedResponse>;
  readonly notes: readonly ReplicaNote[];
  readonly faults: readonly InjectedFault[];
  readonly leaving: readonly ReplicaDeparture[];
  readonly configurationWrites: readonly ConfigurationWrite[];
  /** Time at which the last fault had ended. */
  readonly cooldownFromMs: number;
  readonly endMs: number;
  /** Accepted usage reports, in order of acceptance. */
  readonly dutyCalls: readonly DutyCall[];
  readonly ownEnds: readonly OwnEnd[];
}
