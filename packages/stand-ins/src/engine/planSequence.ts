import murmurhash from 'murmurhash';

import { answerTokens, conversationHash, countTokens } from './answer.js';
import type { ChatRequest } from './chatSchema.js';
import type { SequenceRequest } from './EngineModel.js';
import type { KvStore } from './KvStore.js';

/** A sequence for the model together with what its text is made from. */
export interface SequencePlan {
  readonly sequence: SequenceRequest;
  readonly model: string;
  readonly conversation: number;
  /** Tokens of the answer that the caller already holds. */
  readonly resumeFrom: number;
}

const CHARACTERS_PER_TOKEN = 4;

const tokensOf = (text: string): number =>
  Math.ceil(text.length / CHARACTERS_PER_TOKEN);

/**
 * Turns a chat request into a sequence.
 *
 * @param id - id of the sequence
 * @param chat - the checked request
 * @param kv - imported caches, which save prefill
 * @returns the plan
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
  const total = answerTokens(conversation, chat.max_tokens + resumeFrom);
  const prefix = messages[0]?.content ?? '';
  const promptTokens = messages.reduce(
    (sum, { content }) => sum + tokensOf(content),
    resumeFrom,
  );
  kv.remember(id, { conversation, tokens: promptTokens });
  return {
    model: chat.model,
    conversation,
    resumeFrom,
    sequence: {
      id,
      promptTokens,
      prefixHash: murmurhash.v3(prefix),
      prefixTokens: tokensOf(prefix),
      outputTokens: Math.max(1, total - resumeFrom),
      priority: chat.priority,
      imported: kv.matches(chat.kv_handle, conversation),
    },
  };
}
