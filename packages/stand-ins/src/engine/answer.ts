import murmurhash from 'murmurhash';

/** One message of a conversation. */
export interface ChatMessage {
  readonly role: string;
  readonly content: string;
}

const MIN_ANSWER_TOKENS = 4;
const HASH_RANGE = 2 ** 32;
const VOCABULARY_SIZE = 46_656;
const RADIX = 36;

/**
 * Hash that identifies a conversation, from the roles and contents of its
 * messages.
 */
export const conversationHash = (messages: readonly ChatMessage[]): number =>
  murmurhash.v3(JSON.stringify(messages));

/**
 * Token at one index of the answer to a conversation. It depends on nothing
 * else, so any engine can resume an answer that another engine began.
 *
 * @param conversation - hash of the conversation
 * @param index - position in the answer, counted from 0
 * @returns text of the token, beginning with a space
 */
export const tokenAt = (conversation: number, index: number): string =>
  ` ${(murmurhash.v3(`${index}`, conversation) % VOCABULARY_SIZE).toString(RADIX)}`;

/** Counts the tokens of a text that consists of tokens from `tokenAt`. */
export const countTokens = (text: string): number => text.split(' ').length - 1;

/**
 * Length of the answer to a conversation. Over conversations it is distributed
 * exponentially with a mean of half of `maxTokens` before it is limited to the
 * range from 4 to `maxTokens`; for one conversation it is always the same.
 *
 * @param conversation - hash of the conversation
 * @param maxTokens - limit set by the caller
 * @returns number of tokens, at most `maxTokens`
 */
export function answerLength(conversation: number, maxTokens: number): number {
  const uniform = (murmurhash.v3('length', conversation) + 1) / HASH_RANGE;
  const drawn = Math.round((-Math.log(uniform) * maxTokens) / 2);
  return Math.min(maxTokens, Math.max(MIN_ANSWER_TOKENS, drawn));
}

/** Complete answer to a conversation, for checking what a caller received. */
export function expectedAnswer(
  messages: readonly ChatMessage[],
  maxTokens: number,
): string {
  const conversation = conversationHash(messages);
  return Array.from(
    { length: answerLength(conversation, maxTokens) },
    (_, index) => tokenAt(conversation, index),
  ).join('');
}
