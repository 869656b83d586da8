import type { AttemptFailure } from '@jujubecroft/decisions';
import type { BackendServer, ModelId } from '@jujubecroft/types';

/** One message of the chat-completions shape. */
export interface ChatMessage {
  readonly role: string;
  readonly content: string;
}

/** One attempt at an engine. */
export interface EngineCall {
  readonly server: BackendServer;
  readonly model: ModelId;
  readonly messages: readonly ChatMessage[];
  readonly maxTokens: number;
  /** Lower is served first. */
  readonly priority: number;
  /** Beginning of the answer that the caller already holds. */
  readonly delivered: string;
  readonly deliveredTokens: number;
}

/** Hears how an attempt goes. Exactly one of the last two is called, once. */
export interface AttemptListener<T> {
  readonly onProgress: (progress: T) => void;
  readonly onFinished: () => void;
  readonly onFailed: (failure: AttemptFailure) => void;
}

/** New text of an answer. */
export interface EngineProgress {
  readonly text: string;
  readonly tokens: number;
}

/** Stops an attempt; nothing is heard of it afterwards. */
export interface AttemptHandle {
  readonly cancel: () => void;
}
