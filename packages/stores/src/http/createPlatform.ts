import { z } from 'zod';
import { routerError } from '@jujubecroft/types';

import type { InstanceList, ListedInstance } from '../ports/InstanceList.js';
import type { ObjectStore } from '../ports/ObjectStore.js';
import type { Row, TableStore, TransactResult } from '../ports/TableStore.js';
import type { WeightGrant, WeightStore } from '../ports/WeightStore.js';
import type { PlatformReply } from './PlatformHttp.js';
import { DEFAULT_PLATFORM_HTTP, PlatformHttp } from './PlatformHttp.js';

/** Ports to the services of the platform. */
export interface Platform {
  readonly table: TableStore;
  readonly objects: ObjectStore;
  readonly instances: InstanceList;
  readonly weights: WeightStore;
  readonly close: () => Promise<void>;
}

const NOT_FOUND = 404;

const rowSchema = z.object({
  key: z.string(),
  value: z.unknown(),
  version: z.number(),
}) satisfies z.ZodType<Row>;

const transactSchema: z.ZodType<TransactResult> = z.union([
  z.object({ ok: z.literal(true) }),
  z.object({
    ok: z.literal(false),
    conflict: rowSchema.nullable(),
    conflictKey: z.string(),
  }),
]);

const listedSchema = z.object({
  id: z.string(),
  failureDomain: z.string(),
  callerAddress: z.string(),
  peerAddress: z.string(),
  state: z.enum(['leaving', 'live']),
});

const grantSchema: z.ZodType<WeightGrant> = z.union([
  z.object({ granted: z.literal(true) }),
  z.object({ granted: z.literal(false), retryAfterMs: z.number() }),
]);

function decode<T>(schema: z.ZodType<T>, reply: PlatformReply): T {
  const result = schema.safeParse(JSON.parse(reply.body));
  if (!result.success) {
    throw routerError(
      'platformUnavailable',
      `The platform sent an unexpected reply: ${result.error.message}`,
    );
  }
  return result.data;
}

function createTable(http: PlatformHttp): TableStore {
  const read = (path: string, body: object): Promise<PlatformReply> =>
    http.send({
      method: 'POST',
      path,
      body: JSON.stringify(body),
      repeatable: true,
    });
  return {
    get: async key =>
      decode(rowSchema.nullable(), await read('/table/get', { key })),
    scan: async options =>
      decode(z.array(rowSchema), await read('/table/scan', options)),
    // A transaction whose reply was lost may have taken effect, so it is not retried
    // here; the sender knows which row tells whether it did.
    transact: async writes =>
      decode(
        transactSchema,
        await http.send({
          method: 'POST',
          path: '/table/transact',
          body: JSON.stringify({ writes }),
          repeatable: false,
        }),
      ),
  };
}

function createObjects(http: PlatformHttp): ObjectStore {
  const path = (name: string): string => `/objects/${encodeURIComponent(name)}`;
  return {
    read: async name => {
      const reply = await http.send({
        method: 'GET',
        path: path(name),
        repeatable: true,
      });
      return reply.status === NOT_FOUND ? null : reply.body;
    },
    write: async (name, body) => {
      await http.send({
        method: 'PUT',
        path: path(name),
        body,
        repeatable: true,
      });
    },
  };
}

/**
 * Creates clients for all services of the platform.
 *
 * @param url - base URL of the platform
 * @returns the ports; they share one circuit breaker
 */
export function createPlatform(url: string): Platform {
  const http = new PlatformHttp({ ...DEFAULT_PLATFORM_HTTP, url });
  return {
    table: createTable(http),
    objects: createObjects(http),
    instances: {
      list: async () => {
        const reply = await http.send({
          method: 'GET',
          path: '/instances',
          repeatable: true,
        });
        return decode(z.array(listedSchema), reply) as ListedInstance[];
      },
    },
    weights: {
      request: async (model, version) => {
        const reply = await http.send({
          method: 'POST',
          path: '/weights',
          body: JSON.stringify({ model, version }),
          repeatable: false,
        });
        return decode(grantSchema, reply);
      },
    },
    close: () => http.close(),
  };
}
