import type {
  AttemptFailure,
  Attempt,
  RoutedRequest,
} from '@jujubecroft/decisions';
import type {
  AttemptHandle,
  ChatMessage,
  ServiceReply,
} from '@jujubecroft/backends';
import type { RouterErrorInstance } from '@jujubecroft/types';

/** Receives the answer to one request. */
export interface AnswerSink<T> {
  readonly onProgress: (progress: T) => void;
  readonly onComplete: () => void;
  readonly onRefused: (err: RouterErrorInstance) => void;
}

/** A chat request with the state needed to resume it in another attempt. */
export interface EngineSession {
  readonly kind: 'engine';
  readonly request: RoutedRequest;
  readonly messages: readonly ChatMessage[];
  readonly sink: AnswerSink<string>;
  /** Text already passed to the sink; a resumed attempt continues after it. */
  delivered: string;
  handle: AttemptHandle | null;
}

/** A request to a plain service. */
export interface ServiceSession {
  readonly kind: 'service';
  readonly request: RoutedRequest;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer | null;
  readonly sink: AnswerSink<ServiceReply>;
  handle: AttemptHandle | null;
}

export type Session = EngineSession | ServiceSession;

/**
 * Reports the progress of an attempt to the router.
 *
 * `onTokens` and `onFinished` return false if the attempt has been superseded
 * and its output must be discarded.
 */
export interface AttemptReporter {
  readonly onTokens: (attempt: Attempt, tokens: number) => boolean;
  readonly onFinished: (attempt: Attempt) => boolean;
  readonly onFailed: (attempt: Attempt, failure: AttemptFailure) => void;
}
