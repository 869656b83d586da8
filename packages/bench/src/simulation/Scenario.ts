import type { EngineModelSettings } from '@jujubecroft/settings';
import type {
  BackendServer,
  Organisation,
  RequestClass,
} from '@jujubecroft/types';

/** One stream of calls of one organisation and request class. */
export interface SimStream {
  readonly requestClass: string;
  readonly organisation: string;
  readonly target: 'engine' | 'service';
  /** Mean rate over all instances. */
  readonly requestsPerSecond: number;
  /** Time window during which the rate is multiplied by `factor`. */
  readonly burst?: {
    readonly startSeconds: number;
    readonly seconds: number;
    readonly factor: number;
  };
  readonly promptTokens: number;
  /** Length of the leading part that prompts of this stream share. */
  readonly prefixTokens: number;
  /** Number of different prefixes. */
  readonly prefixCount: number;
  /** Mean length of an answer. */
  readonly meanTokens: number;
  /**
   * Shape of the Weibull distribution of answer lengths: 1 is exponential, less
   * has a heavier tail.
   */
  readonly lengthShape: number;
  /** Time after which the caller disconnects if it has received no token. */
  readonly firstTokenTimeoutMs: number;
  /** Time after which the caller disconnects if the answer is not complete. */
  readonly patienceMs: number;
  /** Share of callers that disconnect at a random time within `patienceMs`. */
  readonly earlyLeaveShare: number;
}

/** A fault of one engine, given by its index. */
export type SimFault =
  | {
      readonly kind: 'crash';
      readonly atMs: number;
      readonly untilMs: number;
      readonly engine: number;
    }
  | { readonly kind: 'silence'; readonly atMs: number; readonly engine: number }
  | {
      readonly kind: 'slow';
      readonly atMs: number;
      readonly untilMs: number;
      readonly engine: number;
      readonly factor: number;
    };

/** A deployment with its load and faults, simulated in virtual time. */
export interface Scenario {
  readonly name: string;
  readonly seconds: number;
  readonly instances: number;
  readonly failureDomains: readonly string[];
  readonly organisations: readonly Organisation[];
  readonly classes: readonly RequestClass[];
  readonly servers: readonly BackendServer[];
  readonly engineModel: EngineModelSettings;
  /** Calls that a plain service runs at the same time. */
  readonly serviceConcurrency: number;
  /** Mean service time of a plain service. */
  readonly serviceMeanMs: number;
  /** One-way latency between instances and backend servers. */
  readonly backendLatencyMs: number;
  /** One-way latency between callers and instances. */
  readonly callerLatencyMs: number;
  /** Delay until a load report reaches the instances. */
  readonly reportLagMs: number;
  readonly streams: readonly SimStream[];
  readonly faults: readonly SimFault[];
}
