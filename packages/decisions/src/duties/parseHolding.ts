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
 * Validates the stored form of a holding.
 *
 * @param content - parsed JSON content of the row; null if there is no row
 * @returns the holding; null if there is no row
 * @throws ZodError if the content is not a valid holding
 */
export function parseHolding(content: unknown): Holding | null {
  return content === null
    ? null
    : // Branded ids are plain strings; the writer of the row ensured that they exist.
      (holdingSchema.parse(content) as unknown as Holding);
}
