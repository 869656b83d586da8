import { z } from 'zod';

/**
 * Fields of a chat-completions request that the engine supports; others are
 * ignored.
 */
export const chatSchema = z.object({
  model: z.string(),
  messages: z.array(z.object({ role: z.string(), content: z.string() })).min(1),
  max_tokens: z.number().int().positive().default(256),
  priority: z.number().int().default(0),
  /**
   * Whether the last message is the beginning of the answer, which the engine
   * continues.
   */
  continue_final_message: z.boolean().default(false),
  /** Handle of an imported KV cache, as returned by `POST /kv`. */
  kv_handle: z.string().optional(),
});

export type ChatRequest = z.infer<typeof chatSchema>;

/** An order to the engine, with the sender's fencing token. */
export const orderSchema = z.object({
  kind: z.enum(['changeRole', 'loadAdapter', 'loadModel']),
  name: z.string(),
  version: z.string(),
  fencing: z.number().int(),
});

/** Fault switches of the engine; those left out keep their state. */
export const engineFaultsBodySchema = z.object({
  /** Factor on the duration of every step. */
  slowdown: z.number().positive().optional(),
  /** Whether to stop sending on all open streams without closing them. */
  silenceOpen: z.boolean().optional(),
  /**
   * True cuts all streams and fails chat and load requests until set to false.
   */
  crashed: z.boolean().optional(),
});
