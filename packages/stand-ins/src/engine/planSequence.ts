import murmurhash from 'murmurhash';

import { answerLength, conversationHash, countTokens } from './answer.js';
import type { ChatRequest } from './chatSchema.js';
import type { SequenceRequest } from './EngineModel.js';
import type { KvStore } from './KvStore.js';

/**
 * A sequence for the engine model, with the data from which its text is
 * generated.
 */
export interface SequencePlan {
  readonly sequence: SequenceRequest;
  readonly model: string;
  /** Hash of the conversation. */
  readonly conversation: number;
  /** Number of tokens of the answer that the caller already has. */
  readonly resumeFrom: number;
}

const CHARACTERS_PER_TOKEN = 4;

const estimateTokens = (text: string): number =>
  Math.ceil(text.length / CHARACTERS_PER_TOKEN);

/**
 * Plans the sequence for a chat request, and keeps its KV cache for export.
 *
 * @param id - id of the sequence
 * @param chat - validated request
 * @param kv - exportable and imported KV caches; an imported cache of the same
 *   conversation saves the prefill
 * @returns the plan of the sequence
 */
export function planSequence(
  id: string,
  chat: ChatRequest,
  kv: KvStore,
): SequencePlan {
  const partial = chat.continue_final_message
    ? (chat.messages.at(-1)?.content ?? '')
    : '';
  const messages = chat.continue_final_message
    ? chat.messages.slice(0, -1)
    : chat.messages;
  const conversation = conversationHash(messages);
  const resumeFrom = countTokens(partial);
  const totalTokens = answerLength(conversation, chat.max_tokens + resumeFrom);
  const prefix = messages[0]?.content ?? '';
  const promptTokens = messages.reduce(
    (sum, { content }) => sum + estimateTokens(content),
    resumeFrom,
  );
  kv.save(id, { conversation, tokens: promptTokens });
  return {
    model: chat.model,
    conversation,
    resumeFrom,
    sequence: {
      id,
      promptTokens,
      prefixHash: murmurhash.v3(prefix),
      prefixTokens: estimateTokens(prefix),
      outputTokens: Math.max(1, totalTokens - resumeFrom),
      priority: chat.priority,
      imported: kv.matches(chat.kv_handle, conversation),
    },
  };
}
