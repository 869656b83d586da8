import type { DutyCall, SoakBounds, SoakKind } from './evidence.js';

/**
 * Fault of the store that affects all its clients.
 *
 * `away`: it does not answer. `losesReplies`: its replies are lost. `slow`: its
 * replies are slow. `well`: no fault.
 */
export type StoreFault = 'away' | 'losesReplies' | 'slow' | 'well';

/**
 * Fault of a replica, applied to a share of its responses.
 *
 * `contradicts`: answers requests that ran with statuses or headers of a rejection.
 * `copiesRejections`: rejects requests, and sends a copy of each rejection where the next
 * response on its connection is expected. `garbles`: writes bytes that are not HTTP. `grey`:
 * answers with status 500. `losesAnswers`: closes the connection without a response.
 * `neverEnds`: sends bytes that are no response until the connection closes. `spoilsHeads`:
 * sends an invalid status line. `truncates`: closes the connection in the middle of the body.
 * `well`: no fault.
 */
export type ReplicaFault =
  | 'contradicts'
  | 'copiesRejections'
  | 'garbles'
  | 'grey'
  | 'losesAnswers'
  | 'neverEnds'
  | 'spoilsHeads'
  | 'truncates'
  | 'well';

/** A share of a route's requests. */
export interface SoakShare {
  readonly service: string;
  readonly weight: number;
}

/** A route in a configuration of the soak. */
export interface SoakRoute {
  readonly name: string;
  readonly prefix: string;
  readonly kind: SoakKind;
  /** Services that get the route's requests. */
  readonly shares: readonly SoakShare[];
  /** Maximum number of replicas that a request may be sent to. */
  readonly attempts: number;
  readonly timeoutMs: number;
}

/** A configuration that the soak writes to the store. */
export interface SoakConfiguration {
  readonly version: number;
  readonly routes: readonly SoakRoute[];
  readonly services: readonly string[];
  /** Time after which idle connections of callers are closed. */
  readonly idleTimeoutMs: number;
  /** API keys by organisation. */
  readonly keys: ReadonlyMap<string, readonly string[]>;
}

/** The store, run by the soak as a server in its own process. */
export interface SoakStore {
  readonly host: string;
  readonly port: number;
  readonly setFault: (fault: StoreFault) => void;
  /** Discards the history of changes, so that watches cannot resume from it. */
  readonly discardHistory: () => void;
  /**
   * Copies the content of the store.
   *
   * @returns a function that restores the copy, so that later writes are lost
   */
  readonly copy: () => () => void;
  /** Number of calls that the store has received so far. */
  readonly calls: () => number;
  /** Reports accepted so far from the gateway that holds the duty of reporting usage. */
  readonly dutyCalls: () => readonly DutyCall[];
  /** Writes a configuration. The write is acknowledged when this returns. */
  readonly writeConfiguration: (cfg: SoakConfiguration) => void;
  /**
   * Registers a listener for changes of replica entries. `isReady` is false if the
   * replica is leaving or its entry was removed.
   */
  readonly onEntryChange: (
    listener: (replica: string, isReady: boolean) => void,
  ) => void;
  readonly close: () => Promise<void>;
}

/** Addresses and identity of one gateway process. */
export interface SoakGatewayConfig {
  readonly index: number;
  readonly host: string;
  readonly failureDomain: string;
  readonly storeAddress: string;
  /** Address at which other gateways reach this one, through its fault link. */
  readonly peerAddress: string;
  /** Addresses of other gateways, used to join them at startup. */
  readonly seeds: readonly string[];
}

/** Ports on which a gateway listens. */
export interface SoakGatewayPorts {
  readonly callers: number;
  readonly readiness: number;
  readonly directory: number;
  readonly peers: number;
}

/** Configuration of one replica process, passed to it as a JSON file. */
export interface SoakReplicaConfig {
  readonly replica: string;
  readonly service: string;
  readonly softwareVersion: string;
  readonly host: string;
  readonly port: number;
  /** Address published in the replica's entry: that of its fault link. */
  readonly entryAddress: string;
  readonly storeUrl: string;
  readonly failureDomain: string;
  /** File to which the replica appends its `ReplicaNote`s, one JSON object per line. */
  readonly notesFile: string;
  readonly seed: number;
}

/** Request metadata that a caller sends as headers. */
export interface SoakCallerMetadata {
  readonly id: string;
  readonly host: string;
  /** API key. */
  readonly key: string;
  readonly timeLimitMs: number;
  /** Last event that the caller has of a stream; null for a new request. */
  readonly lastEvent: number | null;
  /** Request that brought the first event; null to name none. */
  readonly firstRequest: string | null;
  /** Parts of the prompt that other requests share; empty for no prompt. */
  readonly parts: readonly string[];
}

/** Request metadata that a replica reads from the headers. */
export interface SoakRequestMetadata {
  readonly id: string | null;
  readonly timeLeftMs: number | null;
  readonly organisation: string | null;
  /** Replica that the request is addressed to; null if the headers name none. */
  readonly expected: string | null;
  /** Number of the last event that the caller has received; 0 for a new stream. */
  readonly after: number;
}

/** Load that a replica reports with a response. */
export interface SoakReplicaLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Rate limit over all gateways, in requests per second; null for no limit. */
  readonly limitPerS: number | null;
  /** Whether the replica is leaving. */
  readonly isLeaving: boolean;
}

type Headers = Readonly<Record<string, string | string[] | undefined>>;

/** Headers and store entries of replicas, as the environment defines them. */
export interface SoakReplicaDialect {
  readonly readHead: (headers: Headers) => SoakRequestMetadata;
  /**
   * Headers of a response.
   *
   * `stamp` identifies the execution of the request, as `<replica>/<request id>`.
   */
  readonly answerHeaders: (
    head: SoakRequestMetadata,
    stamp: string,
    load: SoakReplicaLoad,
  ) => Record<string, string>;
  /**
   * Headers of a response which states that the request was not executed.
   *
   * `pauseMs` is the time for which the replica accepts nothing more from the
   * gateway; null if it requests no pause.
   */
  readonly notRunHeaders: (
    head: SoakRequestMetadata,
    pauseMs: number | null,
  ) => Record<string, string>;
  /**
   * Writes or removes a replica's entry. Rejects if the store fails or does not
   * respond.
   */
  readonly announce: (
    place: SoakReplicaConfig,
    state: 'leaving' | 'ready' | 'removed',
    sequence: number,
  ) => Promise<void>;
}

/**
 * Adapter for the environment in which the soak runs the programs.
 *
 * The soak defines the faults and the invariants. The environment supplies the
 * store and the formats of settings, headers and paths.
 */
export interface SoakEnvironment {
  readonly startStore: () => Promise<SoakStore>;
  /**
   * Content of a gateway's settings file. `note` is a counter that makes each
   * version of the file differ; it has no effect on the gateway.
   */
  readonly settingsOf: (
    gateway: SoakGatewayConfig,
    ports: SoakGatewayPorts,
    bounds: SoakBounds,
    note: number,
  ) => string;
  readonly callerHeaders: (head: SoakCallerMetadata) => Record<string, string>;
  /** Path of the request that lists gateway addresses. */
  readonly addressesPath: string;
  readonly readinessPath: string;
  /** Parses gateway addresses from a response body. Empty if there are none. */
  readonly readAddresses: (body: string) => readonly string[];
  /** Reads the stamp of an execution from response headers; null if there is none. */
  readonly readStamp: (headers: Headers) => string | null;
}
