import murmurhash from 'murmurhash';

/** One message of a conversation. */
export interface ChatMessage {
  readonly role: string;
  readonly content: string;
}

const MIN_TOKENS = 4;
const HASH_RANGE = 2 ** 32;
const VOCABULARY = 46_656;
const RADIX = 36;

/** Hash that stands for a whole conversation. */
export const conversationHash = (messages: readonly ChatMessage[]): number =>
  murmurhash.v3(JSON.stringify(messages));

/**
 * The token at one place of an answer, so that any engine continues any answer
 * byte for byte.
 */
export const tokenAt = (conversation: number, index: number): string =>
  ` ${(murmurhash.v3(`${index}`, conversation) % VOCABULARY).toString(RADIX)}`;

/** Counts the tokens of a text made by `tokenAt`. */
export const countTokens = (text: string): number => text.split(' ').length - 1;

/**
 * Length of an answer: exponentially distributed around half the bound, and
 * fixed by the conversation.
 *
 * @param conversation - hash of the conversation
 * @param maxTokens - bound that the caller set
 * @returns tokens, at most `maxTokens`
 */
export function answerTokens(conversation: number, maxTokens: number): number {
  const uniform = (murmurhash.v3('length', conversation) + 1) / HASH_RANGE;
  const drawn = Math.round((-Math.log(uniform) * maxTokens) / 2);
  return Math.min(maxTokens, Math.max(MIN_TOKENS, drawn));
}

/** The whole answer to a conversation, for checking what a caller received. */
export function expectedAnswer(
  messages: readonly ChatMessage[],
  maxTokens: number,
): string {
  const conversation = conversationHash(messages);
  return Array.from(
    { length: answerTokens(conversation, maxTokens) },
    (_, index) => tokenAt(conversation, index),
  ).join('');
}
