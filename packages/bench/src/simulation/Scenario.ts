import type { EngineModelSettings } from '@jujubecroft/settings';
import type {
  BackendServer,
  Organisation,
  RequestClass,
} from '@jujubecroft/types';

/** One stream of calls; rates are in calls a second over the whole fleet. */
export interface SimStream {
  readonly requestClass: string;
  readonly organisation: string;
  readonly target: 'engine' | 'service';
  readonly requestsPerSecond: number;
  readonly burst?: {
    readonly startSeconds: number;
    readonly seconds: number;
    readonly factor: number;
  };
  readonly promptTokens: number;
  /** Shared leading part of the prompt, and how many different ones there are. */
  readonly prefixTokens: number;
  readonly prefixes: number;
  readonly meanTokens: number;
  /** Shape of the length: 1 is exponential, less has a heavier tail. */
  readonly lengthShape: number;
  /** The caller leaves when the first token has not come by then. */
  readonly firstPatienceMs: number;
  /** The caller leaves when the answer is not whole by then. */
  readonly patienceMs: number;
  /** Share of callers that leave at a random moment. */
  readonly fickle: number;
}

/** Something that goes wrong at one engine. */
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

/** A deployment under load and faults, in virtual time. */
export interface Scenario {
  readonly name: string;
  readonly seconds: number;
  readonly instances: number;
  readonly failureDomains: readonly string[];
  readonly organisations: readonly Organisation[];
  readonly classes: readonly RequestClass[];
  readonly servers: readonly BackendServer[];
  readonly engineModel: EngineModelSettings;
  readonly serviceConcurrency: number;
  readonly serviceMeanMs: number;
  readonly networkMs: number;
  readonly callerMs: number;
  readonly reportLagMs: number;
  readonly streams: readonly SimStream[];
  readonly faults: readonly SimFault[];
}
