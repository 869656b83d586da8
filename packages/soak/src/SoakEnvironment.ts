import type { DutyNote, SoakBounds, SoakKind } from './evidence.js';

/** How the store misbehaves towards everybody. */
export type StoreFault = 'away' | 'losesReplies' | 'slow' | 'well';

/** How a replica misbehaves. */
export type ReplicaFault =
  'garbles' | 'grey' | 'losesAnswers' | 'truncates' | 'well';

/** A route that the operator declares for the soak. */
export interface SoakRoute {
  readonly name: string;
  readonly prefix: string;
  readonly kind: SoakKind;
  readonly service: string;
  readonly attempts: number;
  readonly timeoutMs: number;
}

/** A configuration for the soak. */
export interface SoakConfiguration {
  readonly version: number;
  readonly routes: readonly SoakRoute[];
  readonly services: readonly string[];
  /** Keys by organisation. */
  readonly keys: ReadonlyMap<string, readonly string[]>;
}

/** The store as a server that the soak runs itself. */
export interface SoakStore {
  readonly host: string;
  readonly port: number;
  readonly setFault: (fault: StoreFault) => void;
  readonly forgetHistory: () => void;
  /** Calls that were made so far. */
  readonly calls: () => number;
  /** What was reported so far of the work of all gateways together. */
  readonly dutyCalls: () => readonly DutyNote[];
  /** Writes a configuration; it is acknowledged when this returns. */
  readonly configure: (cfg: SoakConfiguration) => void;
  /** Told of each change of a replica's entry; false where it leaves or is gone. */
  readonly onEntry: (
    listener: (replica: string, isReady: boolean) => void,
  ) => void;
  readonly close: () => Promise<void>;
}

/** Where one gateway listens and whom it knows. */
export interface SoakGatewayPlace {
  readonly index: number;
  readonly host: string;
  readonly failureDomain: string;
  readonly storeAddress: string;
  /** Where others reach it for exchanges. */
  readonly peerAddress: string;
  readonly seeds: readonly string[];
}

/** Addresses of a gateway, as its settings say. */
export interface SoakGatewayPorts {
  readonly callers: number;
  readonly readiness: number;
  readonly directory: number;
  readonly peers: number;
}

/** What one replica process needs to know. */
export interface SoakReplicaPlace {
  readonly replica: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  /** Address that stands in its entry. */
  readonly entryAddress: string;
  readonly storeUrl: string;
  readonly failureDomain: string;
  readonly notesFile: string;
  readonly seed: number;
}

/** What a caller says with a request. */
export interface SoakCallerHead {
  readonly id: string;
  readonly host: string;
  readonly key: string;
  readonly timeLimitMs: number;
}

/** What a replica reads in the head of a request. */
export interface SoakRequestHead {
  readonly id: string | null;
  readonly timeLeftMs: number | null;
  readonly organisation: string | null;
  /** Replica that the request is meant for; null where it doesn't say. */
  readonly expected: string | null;
  /** Last event that the caller has; 0 at a start. */
  readonly after: number;
}

/** What a replica tells with an answer. */
export interface SoakLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Requests a second that it takes from all gateways; null for any number. */
  readonly limitPerS: number | null;
}

type Headers = Readonly<Record<string, string | string[] | undefined>>;

/** How replicas speak in the environment. */
export interface SoakReplicaDialect {
  readonly readHead: (headers: Headers) => SoakRequestHead;
  readonly answerHeaders: (
    head: SoakRequestHead,
    mark: string,
    load: SoakLoad,
  ) => Record<string, string>;
  /** Headers of an answer that says that the request was not run. */
  readonly notRunHeaders: (head: SoakRequestHead) => Record<string, string>;
  /** Writes or removes a replica's entry; rejects when the store doesn't answer. */
  readonly announce: (
    place: SoakReplicaPlace,
    state: 'leaving' | 'ready' | 'removed',
    sequence: number,
  ) => Promise<void>;
}

/**
 * The surroundings in which the soak runs the programs.
 *
 * The soak knows promises and faults; the environment knows how the surroundings
 * spell things.
 */
export interface SoakEnvironment {
  readonly startStore: () => Promise<SoakStore>;
  /** Content of a gateway's settings file; `note` changes nothing that matters. */
  readonly settingsOf: (
    place: SoakGatewayPlace,
    ports: SoakGatewayPorts,
    bounds: SoakBounds,
    note: number,
  ) => string;
  readonly callerHeaders: (head: SoakCallerHead) => Record<string, string>;
  /** Path to ask for addresses. */
  readonly addressesPath: string;
  readonly readinessPath: string;
  /** Reads addresses out of an answer; empty where there are none. */
  readonly readAddresses: (body: string) => readonly string[];
  /** Reads the mark of a run out of an answer's headers. */
  readonly readMark: (headers: Headers) => string | null;
}
