import { z } from 'zod';

import type { WorkOrder } from './answers.js';

const workSchema = z.object({
  workMs: z.number(),
  events: z.number(),
  gapMs: z.number(),
  crashes: z.boolean().optional(),
});

/** A probe without a body asks for an answer at once. */
const NO_WORK: WorkOrder = { workMs: 0, events: 0, gapMs: 0 };

/** Reads what a request's body asks a replica to do. */
export function workOf(body: string): WorkOrder {
  return body === '' ? NO_WORK : workSchema.parse(JSON.parse(body));
}
