import type { AttemptFailure } from '@jujubecroft/decisions';
import type { BackendServer, ModelId } from '@jujubecroft/types';

/** One message of a chat-completions request. */
export interface ChatMessage {
  readonly role: string;
  readonly content: string;
}

/** One attempt to run a request at an engine. */
export interface EngineCall {
  readonly server: BackendServer;
  readonly model: ModelId;
  readonly messages: readonly ChatMessage[];
  readonly maxTokens: number;
  /** Priority at the engine; lower values are served first. */
  readonly priority: number;
  /** Beginning of the answer that the caller has already received. */
  readonly delivered: string;
  readonly deliveredTokens: number;
}

/** Receives the events of an attempt. Either `onFinished` or `onFailed` is called, once. */
export interface AttemptListener<T> {
  readonly onProgress: (progress: T) => void;
  readonly onFinished: () => void;
  readonly onFailed: (failure: AttemptFailure) => void;
}

/** A new part of the answer. */
export interface EngineProgress {
  readonly text: string;
  readonly tokens: number;
}

/** Cancels an attempt; its failure is not reported to the listener afterwards. */
export interface AttemptHandle {
  readonly cancel: () => void;
}
