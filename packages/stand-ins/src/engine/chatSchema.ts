import { z } from 'zod';

/** The part of the chat-completions request that the engine understands. */
export const chatSchema = z.object({
  model: z.string(),
  messages: z.array(z.object({ role: z.string(), content: z.string() })).min(1),
  max_tokens: z.number().int().positive().default(256),
  priority: z.number().int().default(0),
  /** The last message is the beginning of the answer, to be continued. */
  continue_final_message: z.boolean().default(false),
  /** Handle of an imported KV cache. */
  kv_handle: z.string().optional(),
});

export type ChatRequest = z.infer<typeof chatSchema>;

/** An order to the engine, with the fencing number of who gave it. */
export const orderSchema = z.object({
  kind: z.enum(['changeRole', 'loadAdapter', 'loadModel']),
  name: z.string(),
  version: z.string(),
  fencing: z.number().int(),
});

export const engineFaultsBodySchema = z.object({
  slowdown: z.number().positive().optional(),
  silenceOpen: z.boolean().optional(),
  crashed: z.boolean().optional(),
});
