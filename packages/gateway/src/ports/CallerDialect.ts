import type { ReportedLoad } from '@jujubecroft/decisions';
import type {
  BackendServerId,
  OrganisationId,
  PromptMetadata,
  RequestId,
} from '@jujubecroft/types';

/** Header names and values in alternation, as received on the wire. */
export type RawHeaders = readonly string[];

/** Contents of the head of a caller's request. */
export interface RequestHead {
  /** Request id; null if the caller sent none. */
  readonly id: RequestId | null;
  /** API key of the caller; null if it sent none. */
  readonly key: string | null;
  /**
   * How long the caller is prepared to wait, in milliseconds; null if not
   * stated.
   */
  readonly timeLeftMs: number | null;
  /**
   * Token counts and parts of the prompt; null if the request has no prompt.
   */
  readonly prompt: PromptMetadata | null;
  /**
   * Last event that the caller received of an earlier stream; null on a first
   * request.
   */
  readonly lastEventId: string | null;
  /**
   * Request that brought the first event of the stream that the caller
   * continues; null if it names none.
   */
  readonly firstRequest: RequestId | null;
}

/** Values that the gateway adds to a request for a backend server. */
export interface BackendRequestHead {
  readonly host: string;
  /** Time until the deadline of the request, in milliseconds. */
  readonly timeLeftMs: number;
  readonly backendServer: BackendServerId;
  readonly organisation: OrganisationId | null;
  /**
   * Rank in the queue of the backend server, 0 first; null if it has no ranks.
   */
  readonly priority: number | null;
  /** Event after which a stream resumes; null at its start. */
  readonly lastEventId: string | null;
  /**
   * Address of a replica from which cached prompt parts may be copied; null for
   * none.
   */
  readonly fetchFrom: string | null;
}

/** Contents of the head of a backend server's response. */
export interface ResponseHead {
  /**
   * Id of the request that the response belongs to; null if not stated, or if several are.
   */
  readonly requestId: string | null;
  /** Whether the response carries the stamp that proves execution. */
  readonly hasExecutionStamp: boolean;
  /** Whether the backend server states that it did not execute the request. */
  readonly notRun: boolean;
  /**
   * Whether it states that it did not execute the request, and anything that excludes this:
   * the stamp of an execution, another status or the contrary.
   */
  readonly isContradictory: boolean;
  /** Whether callers take the status for the promise that the request did not run. */
  readonly promisesNotRun: boolean;
  /** Whether it states a content coding, such as `identity`, although callers ask for none. */
  readonly hasContentCoding: boolean;
  /** Load of the backend server; null if not reported. */
  readonly load: ReportedLoad | null;
  /**
   * Requests per second that the backend server accepts from all instances
   * together; null if it states no limit.
   */
  readonly limitPerS: number | null;
  /**
   * Time for which the backend server accepts nothing from this instance, in
   * milliseconds; null if it requests no pause.
   */
  readonly pauseMs: number | null;
  /** Whether the addressed backend server states that it is leaving. */
  readonly isLeaving: boolean;
}

/**
 * Header names and formats that callers and backend servers use.
 *
 * The gateway works with the meanings only; a dialect maps them to headers.
 */
export interface CallerDialect {
  /** Reads the headers of a caller's request. */
  readonly readRequest: (raw: RawHeaders) => RequestHead;
  /**
   * Returns the headers for a backend server: the forwarded headers of the
   * caller and those of the gateway.
   */
  readonly toBackendHeaders: (
    raw: RawHeaders,
    head: BackendRequestHead,
  ) => string[];
  /** Reads the headers of a response. */
  readonly readResponse: (status: number, raw: RawHeaders) => ResponseHead;
  /**
   * Whether callers take a status for the promise that their request has not run and never
   * will.
   */
  readonly promisesNotRun: (status: number) => boolean;
  /** Returns the headers of a response that are forwarded to the caller. */
  readonly toCallerHeaders: (raw: RawHeaders) => string[];
  /**
   * Returns headers for a response that the gateway generates itself.
   *
   * `retryAfterMs` is 0 if a retry is of no use.
   */
  readonly gatewayResponseHeaders: (
    requestId: RequestId | null,
    retryAfterMs: number,
  ) => string[];
}
