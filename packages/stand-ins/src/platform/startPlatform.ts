import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import fastify from 'fastify';
import { z } from 'zod';
import type { SettingsOf } from '@jujubecroft/settings';
import { createRandom, STRICT_PARSER } from '@jujubecroft/types';
import type { ListedInstance } from '@jujubecroft/stores';

import { DelayedValue } from '../util/DelayedValue.js';
import type { RunningServer } from '../util/RunningServer.js';
import { Table } from './Table.js';
import { WeightLoadLimiter } from './WeightLoadLimiter.js';

const UNAVAILABLE = 503;
const NOT_FOUND = 404;

const keySchema = z.object({ key: z.string() });
const scanSchema = z.object({
  prefix: z.string(),
  after: z.string().optional(),
  limit: z.number().int().positive().optional(),
});
const transactSchema = z.object({
  writes: z.array(
    z.object({
      key: z.string(),
      value: z.unknown(),
      ifVersion: z.number().optional(),
    }),
  ),
});
/** Fault switches of the platform; those left out keep their state. */
const faultsSchema = z.object({
  /** Whether all endpoints except `/control/` fail. */
  down: z.boolean().optional(),
  /** Whether the table fails while the other endpoints work. */
  failTable: z.boolean().optional(),
  /** Delay of every request except to `/control/`. */
  slowMs: z.number().nonnegative().optional(),
  /** Share of transactions that are committed but not answered. */
  loseReplies: z.number().min(0).max(1).optional(),
});
const instancesSchema = z.array(
  z.object({
    id: z.string(),
    failureDomain: z.string(),
    callerAddress: z.string(),
    peerAddress: z.string(),
    state: z.enum(['leaving', 'live']),
  }),
);

/** State and fault switches of the platform stand-in. */
class PlatformState {
  readonly table = new Table();
  readonly objects = new Map<string, string>();
  readonly weights: WeightLoadLimiter;
  readonly instances: DelayedValue<readonly ListedInstance[]>;
  down = false;
  failTable = false;
  slowMs = 0;
  loseReplies = 0;
  /** Number of reads of the table. */
  reads = 0;
  /** Number of transactions on the table. */
  writes = 0;
  readonly random: () => number;

  constructor(settings: SettingsOf<'platform'>) {
    this.weights = new WeightLoadLimiter(settings.weightLoadsPerMinute);
    this.instances = new DelayedValue<readonly ListedInstance[]>(
      settings.instanceListLagMs,
      settings.instances as unknown as readonly ListedInstance[],
    );
    this.random = createRandom(settings.seed);
  }
}

/**
 * Leaves the connection open without a reply, which the client sees as a lost
 * reply.
 */
function leaveUnanswered(reply: FastifyReply): FastifyReply {
  reply.hijack();
  return reply;
}

function addTableRoutes(app: FastifyInstance, state: PlatformState): void {
  app.post('/table/get', (req, reply) => {
    state.reads += 1;
    const row = state.table.get(keySchema.parse(req.body).key);
    return reply
      .header('content-type', 'application/json')
      .send(JSON.stringify(row));
  });
  app.post('/table/scan', req => {
    state.reads += 1;
    const { prefix, after, limit } = scanSchema.parse(req.body);
    return state.table.scan({
      prefix,
      ...(after === undefined ? {} : { after }),
      ...(limit === undefined ? {} : { limit }),
    });
  });
  app.post('/table/transact', (req, reply) => {
    state.writes += 1;
    const { writes } = transactSchema.parse(req.body);
    const result = state.table.transact(
      writes.map(({ key, value, ifVersion }) => ({
        key,
        value: value ?? null,
        ...(ifVersion === undefined ? {} : { ifVersion }),
      })),
    );
    return state.random() < state.loseReplies
      ? leaveUnanswered(reply)
      : reply.send(result);
  });
}

function addObjectRoutes(app: FastifyInstance, state: PlatformState): void {
  app.get<{ Params: { name: string } }>('/objects/:name', (req, reply) => {
    const body = state.objects.get(req.params.name);
    return body === undefined ? reply.code(NOT_FOUND).send() : reply.send(body);
  });
  app.put<{ Params: { name: string } }>('/objects/:name', (req, reply) => {
    state.objects.set(req.params.name, JSON.stringify(req.body));
    return reply.send({});
  });
}

function addInstanceAndWeightRoutes(
  app: FastifyInstance,
  state: PlatformState,
): void {
  app.get('/instances', () => state.instances.read(Date.now()).value);
  app.post('/weights', () => state.weights.request(Date.now()));
}

function addControlRoutes(app: FastifyInstance, state: PlatformState): void {
  app.put('/control/instances', req => {
    const listed = instancesSchema.parse(req.body) as ListedInstance[];
    state.instances.record(listed, Date.now());
    return {};
  });
  app.get('/control/counts', () => ({
    reads: state.reads,
    writes: state.writes,
  }));
  app.post('/control/faults', req => {
    const faults = faultsSchema.parse(req.body);
    state.down = faults.down ?? state.down;
    state.failTable = faults.failTable ?? state.failTable;
    state.slowMs = faults.slowMs ?? state.slowMs;
    state.loseReplies = faults.loseReplies ?? state.loseReplies;
    return {};
  });
}

function addFaultHook(app: FastifyInstance, state: PlatformState): void {
  app.addHook('preHandler', async (req: FastifyRequest, reply) => {
    if (req.url.startsWith('/control/')) {
      return;
    }
    if (state.slowMs > 0) {
      await new Promise(resolve => setTimeout(resolve, state.slowMs));
    }
    const tableDown = state.failTable && req.url.startsWith('/table/');
    if (state.down || tableDown) {
      await reply.code(UNAVAILABLE).send({ error: 'down' });
    }
  });
}

/**
 * Starts the platform stand-in: an HTTP server with the table, the object
 * store, the instance list and the rate limit of weight loads.
 *
 * @param settings - validated settings; port 0 selects any free port
 * @returns the running server
 */
export async function startPlatform(
  settings: SettingsOf<'platform'>,
): Promise<RunningServer> {
  const app = fastify({
    http: STRICT_PARSER,
    forceCloseConnections: true,
    bodyLimit: 2 ** 24,
  });
  const state = new PlatformState(settings);
  addFaultHook(app, state);
  addTableRoutes(app, state);
  addObjectRoutes(app, state);
  addInstanceAndWeightRoutes(app, state);
  addControlRoutes(app, state);
  const url = await app.listen(settings.listen);
  return { url, stop: () => app.close() };
}
