import { z } from 'zod';
import { routerError } from '@jujubecroft/types';

const MAX_MESSAGES = 1000;
const MAX_TOKENS = 1_000_000;

const contentSchema = z.union([
  z.string(),
  z
    .array(z.object({ type: z.literal('text'), text: z.string() }))
    .transform(parts => parts.map(({ text }) => text).join('')),
]);

const tokenLimitSchema = z.number().int().positive().max(MAX_TOKENS).optional();

const chatSchema = z.object({
  model: z.string().min(1),
  messages: z
    .array(z.object({ role: z.string().min(1), content: contentSchema }))
    .min(1)
    .max(MAX_MESSAGES),
  stream: z.boolean().default(false),
  max_tokens: tokenLimitSchema,
  max_completion_tokens: tokenLimitSchema,
});

/** Body of a chat-completions request. */
export type ChatRequest = z.infer<typeof chatSchema>;

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    throw routerError('malformedBody', 'The body is not valid JSON.');
  }
}

/**
 * Parses and validates the body of a chat-completions request.
 *
 * @param body - unparsed body, a buffer
 * @returns the request
 * @throws RouterError `malformedBody`, which names each invalid field
 */
export function parseChat(body: unknown): ChatRequest {
  const raw = Buffer.isBuffer(body) ? body : Buffer.alloc(0);
  const result = chatSchema.safeParse(parseJson(raw));
  if (result.success) {
    return result.data;
  }
  const faults = result.error.issues.map(
    ({ path, message }) => `${path.join('.') || 'body'}: ${message}`,
  );
  throw routerError('malformedBody', faults.join('; '));
}
