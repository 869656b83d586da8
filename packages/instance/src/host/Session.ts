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

/** Where the answer to one request goes. */
export interface AnswerSink<T> {
  readonly onProgress: (progress: T) => void;
  readonly onWhole: () => void;
  readonly onRefused: (err: RouterErrorInstance) => void;
}

/** A chat request with all that a resumed attempt needs. */
export interface EngineSession {
  readonly kind: 'engine';
  readonly request: RoutedRequest;
  readonly messages: readonly ChatMessage[];
  readonly sink: AnswerSink<string>;
  /** Text that the caller already holds. */
  delivered: string;
  handle: AttemptHandle | null;
}

/** A call of a plain service. */
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

/** Tells the router how an attempt goes. */
export interface AttemptReporter {
  readonly onTokens: (attempt: Attempt, tokens: number) => boolean;
  readonly onFinished: (attempt: Attempt) => boolean;
  readonly onFailed: (attempt: Attempt, failure: AttemptFailure) => void;
}
