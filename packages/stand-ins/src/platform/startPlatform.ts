import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import fastify from 'fastify';
import { z } from 'zod';
import type { SettingsOf } from '@jujubecroft/settings';
import { createRandom } from '@jujubecroft/types';
import type { ListedInstance } from '@jujubecroft/stores';

import { Lagging } from '../util/Lagging.js';
import type { RunningServer } from '../util/RunningServer.js';
import { Table } from './Table.js';
import { WeightGate } from './WeightGate.js';

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
const faultsSchema = z.object({
  down: z.boolean().optional(),
  /** Only the table is down; list and objects answer. */
  failTable: z.boolean().optional(),
  slowMs: z.number().nonnegative().optional(),
  /** Share of transactions that take effect without a reply. */
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
  readonly weights: WeightGate;
  readonly instances: Lagging<readonly ListedInstance[]>;
  down = false;
  failTable = false;
  slowMs = 0;
  loseReplies = 0;
  reads = 0;
  writes = 0;
  readonly random: () => number;

  constructor(settings: SettingsOf<'platform'>) {
    this.weights = new WeightGate(settings.weightLoadsPerMinute);
    this.instances = new Lagging<readonly ListedInstance[]>(
      settings.instanceListLagMs,
      settings.instances as unknown as readonly ListedInstance[],
    );
    this.random = createRandom(settings.seed);
  }
}

/** Keeps a connection open without a reply, as a lost reply looks to the client. */
function loseReply(reply: FastifyReply): FastifyReply {
  reply.hijack();
  return reply;
}

function addTable(app: FastifyInstance, state: PlatformState): void {
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
      ? loseReply(reply)
      : reply.send(result);
  });
}

function addObjects(app: FastifyInstance, state: PlatformState): void {
  app.get<{ Params: { name: string } }>('/objects/:name', (req, reply) => {
    const body = state.objects.get(req.params.name);
    return body === undefined ? reply.code(NOT_FOUND).send() : reply.send(body);
  });
  app.put<{ Params: { name: string } }>('/objects/:name', (req, reply) => {
    state.objects.set(req.params.name, JSON.stringify(req.body));
    return reply.send({});
  });
}

function addLists(app: FastifyInstance, state: PlatformState): void {
  app.get('/instances', () => state.instances.read(Date.now()).value);
  app.post('/weights', () => state.weights.request(Date.now()));
}

function addControl(app: FastifyInstance, state: PlatformState): void {
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

function addFaults(app: FastifyInstance, state: PlatformState): void {
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
 * Starts the platform stand-in: table, objects, instance list and weights.
 *
 * @param settings - checked settings; port 0 takes any free port
 * @returns the running server
 */
export async function startPlatform(
  settings: SettingsOf<'platform'>,
): Promise<RunningServer> {
  const app = fastify({ forceCloseConnections: true, bodyLimit: 2 ** 24 });
  const state = new PlatformState(settings);
  addFaults(app, state);
  addTable(app, state);
  addObjects(app, state);
  addLists(app, state);
  addControl(app, state);
  const url = await app.listen(settings.listen);
  return { url, stop: () => app.close() };
}
