import * as z from 'zod';
import type { Entity } from '@jujubecroft/types';

const MAX_ID_LENGTH = 64;
const SHA256_HEX = /^[0-9a-f]{64}$/;

/** Letters, digits, dot, dash and underscore: safe in URL paths, headers and table keys. */
export const idSchema = z
  .string()
  .max(MAX_ID_LENGTH)
  .regex(/^[A-Za-z0-9][A-Za-z0-9._-]*$/, 'an id of letters, digits, . _ -');

const positive = z.number().positive();

export const organisationSchema = z.strictObject({
  id: idSchema,
  keySha256: z.string().regex(SHA256_HEX, '64 hexadecimal digits'),
  weight: positive.default(1),
  limits: z
    .strictObject({ requestsPerSecond: positive, tokensPerSecond: positive })
    .default({ requestsPerSecond: 100, tokensPerSecond: 20_000 }),
});

export const requestClassSchema = z.strictObject({
  id: idSchema,
  tier: z.union([z.literal(1), z.literal(2), z.literal(3), z.literal(4)]),
  idempotent: z.boolean(),
  firstTokenTargetMs: positive,
  betweenTokensTargetMs: positive,
  maxQueueMs: positive,
  guaranteedShare: z.number().min(0).max(0.2).default(0.02),
  maxOutputTokens: z.number().int().positive().default(4096),
});

export const modelVersionSchema = z.strictObject({
  id: idSchema,
  version: z.string().min(1),
});

export const backendServerSchema = z
  .strictObject({
    id: idSchema,
    url: z.url({ protocol: /^https?$/ }),
    failureDomain: idSchema,
    models: z.array(idSchema).default([]),
    services: z.array(idSchema).default([]),
    capacity: z.number().int().positive(),
    checksFencing: z.boolean().default(false),
    leaving: z.boolean().default(false),
  })
  .refine(server => server.models.length + server.services.length > 0, {
    error: 'at least one model or service',
    path: ['models'],
  });

/**
 * Validates an entity from an external source.
 *
 * @param kind - the expected kind
 * @param value - the unchecked object, without `kind`
 * @returns the entity with branded ids, or its faults
 */
export function parseEntity(
  kind: Entity['kind'],
  value: unknown,
):
  | { readonly entity: Entity; readonly ok: true }
  | { readonly faults: readonly string[]; readonly ok: false } {
  const schema = SCHEMAS[kind];
  const result = schema.safeParse(value);
  if (!result.success) {
    return {
      ok: false,
      faults: result.error.issues.map(
        issue => `${issue.path.join('.')}: ${issue.message}`,
      ),
    };
  }
  // The schema has checked the shape; brands exist only at compile time.
  const entity = { kind, ...(result.data as object) } as unknown as Entity;
  return { ok: true, entity };
}

const SCHEMAS = {
  organisation: organisationSchema,
  requestClass: requestClassSchema,
  modelVersion: modelVersionSchema,
  backendServer: backendServerSchema,
} as const satisfies Record<Entity['kind'], z.ZodType>;
