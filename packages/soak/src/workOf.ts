import { z } from 'zod';

import type { WorkOrder } from './answers.js';

const workSchema = z.object({
  workMs: z.number(),
  events: z.number(),
  gapMs: z.number(),
  crashes: z.boolean().optional(),
  parts: z.array(z.string()).optional(),
});

/** Work of a request without a body, such as a probe: an immediate response. */
const NO_WORK: WorkOrder = { workMs: 0, events: 0, gapMs: 0 };

/**
 * Parses the work that a request's body asks for.
 *
 * @throws ZodError or SyntaxError if a non-empty body is malformed
 */
export function workOf(body: string): WorkOrder {
  return body === '' ? NO_WORK : workSchema.parse(JSON.parse(body));
}
