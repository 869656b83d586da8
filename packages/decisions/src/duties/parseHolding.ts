import * as z from 'zod';

import type { Holding } from './Holding.js';

const usageSchema = z.object({
  window: z.number(),
  counts: z.record(z.string(), z.number()),
});

const orderSchema = z.object({
  service: z.string(),
  failureDomain: z.string(),
  spot: z.boolean(),
  count: z.number(),
});

const holdingSchema = z.object({
  holder: z.string(),
  instance: z.string(),
  token: z.number(),
  untilMs: z.number(),
  released: z.boolean(),
  former: z.array(z.object({ holder: z.string(), atMs: z.number() })),
  notes: z.object({
    reportedThrough: z.number().nullable(),
    decided: z.array(usageSchema),
    orders: z.array(orderSchema),
    needs: z.array(z.object({ service: z.string(), replicas: z.number() })),
  }),
});

/**
 * Reads a holding as it lies in a store.
 *
 * @param content - of its row, parsed; null where there is none
 * @returns the holding; null where there is none
 * @throws ZodError where it is no holding
 */
export function parseHolding(content: unknown): Holding | null {
  return content === null
    ? null
    : // Ids have no form of their own; whoever wrote the row knew them.
      (holdingSchema.parse(content) as unknown as Holding);
}
