import type { ReportedLoad } from '@jujubecroft/decisions';
import type {
  BackendServerId,
  OrganisationId,
  PromptFacts,
  RequestId,
} from '@jujubecroft/types';

/** Header names and values in turn, as they stood on the wire. */
export type RawHeaders = readonly string[];

/** What the head of a caller's request says. */
export interface CallerHead {
  /** Null where the caller sent none. */
  readonly id: RequestId | null;
  /** The caller's key; null where there is none. */
  readonly key: string | null;
  /** How long the caller waits, in milliseconds; null where it doesn't say. */
  readonly timeLeftMs: number | null;
  /** Null where the request has no prompt. */
  readonly prompt: PromptFacts | null;
  /** Last event that the caller has of an earlier stream; null at a first try. */
  readonly lastEventId: string | null;
}

/** What this system says to a backend server with a request. */
export interface BackendHead {
  readonly host: string;
  readonly timeLeftMs: number;
  readonly backendServer: BackendServerId;
  readonly organisation: OrganisationId | null;
  /** Rank at the backend server, 0 first; null where it has none. */
  readonly priority: number | null;
  /** Where a stream goes on; null at its start. */
  readonly lastEventId: string | null;
  /** Address of a replica from which cached prompt parts are copied; null for none. */
  readonly fetchFrom: string | null;
}

/** What the head of a backend server's answer says. */
export interface AnswerHead {
  /** Request that the answer belongs to; null where it doesn't say. */
  readonly requestId: string | null;
  /** Whether the answer bears the mark of a run. */
  readonly isStamped: boolean;
  /** Whether the backend server says that it did not run the request. */
  readonly notRun: boolean;
  /** Null where the answer tells no load. */
  readonly load: ReportedLoad | null;
  /**
   * Requests a second that the backend server takes from all instances together;
   * null where it names no limit.
   */
  readonly limitPerS: number | null;
}

/**
 * How callers and backend servers say things in headers.
 *
 * The gateway knows meanings only; a dialect knows the names.
 */
export interface CallerDialect {
  /** Reads the head of a caller's request. */
  readonly readCaller: (raw: RawHeaders) => CallerHead;
  /** Headers for a backend server: the caller's that go on, and the system's own. */
  readonly toBackend: (raw: RawHeaders, head: BackendHead) => string[];
  /** Reads the head of an answer. */
  readonly readAnswer: (status: number, raw: RawHeaders) => AnswerHead;
  /** Headers of an answer that go on to the caller. */
  readonly toCaller: (raw: RawHeaders) => string[];
  /** Headers of an answer by this system itself. */
  readonly ownAnswer: (
    requestId: RequestId | null,
    retryAfterMs: number,
  ) => string[];
}
