import type { FastifyInstance, FastifyReply } from 'fastify';
import fastify from 'fastify';
import type { SettingsOf } from '@jujubecroft/settings';
import { createRandom } from '@jujubecroft/types';

import type { RunningServer } from '../util/RunningServer.js';
import { Lagging } from '../util/Lagging.js';
import type { ChatRequest } from './chatSchema.js';
import {
  chatSchema,
  engineFaultsBodySchema,
  orderSchema,
} from './chatSchema.js';
import { EngineDriver } from './EngineDriver.js';
import { EngineModel } from './EngineModel.js';
import { KvStore } from './KvStore.js';
import { planSequence } from './planSequence.js';
import type { CacheEvent } from './PrefixCache.js';
import { streamAnswer } from './streamAnswer.js';

const REPORT_EVERY_MS = 50;
const CONFLICT = 409;
const UNAVAILABLE = 503;
const BAD_REQUEST = 400;
const NOT_FOUND = 404;
const MAX_CACHE_EVENTS = 1000;

interface LoadReading {
  readonly running: number;
  readonly waiting: number;
}

interface PublishedEvent extends CacheEvent {
  /** Consecutive; a missing number is a gap. */
  readonly number: number;
  readonly visibleAtMs: number;
}

/** State of one engine stand-in. */
class Engine {
  readonly model: EngineModel;
  readonly driver: EngineDriver;
  readonly kv = new KvStore();
  readonly load: Lagging<LoadReading>;
  crashed: boolean;
  highestFencing = -1;
  readonly orders: unknown[] = [];
  #events: PublishedEvent[] = [];
  #eventNumber = 0;
  #sequence = 0;
  readonly #random: () => number;

  constructor(readonly settings: SettingsOf<'engine'>) {
    this.model = new EngineModel(settings.model);
    this.model.slowdown = settings.faults.slowdown;
    this.driver = new EngineDriver(this.model);
    this.crashed = settings.faults.crashed;
    this.load = new Lagging<LoadReading>(settings.reportLagMs, {
      running: 0,
      waiting: 0,
    });
    this.#random = createRandom(settings.seed);
  }

  nextId(): string {
    this.#sequence += 1;
    return `${this.settings.id}-${this.#sequence}`;
  }

  sample(): void {
    const { running, waiting } = this.model;
    const nowMs = Date.now();
    this.load.record({ running, waiting }, nowMs);
    this.model.cache.takeEvents().forEach(event => {
      this.#publish(event, nowMs);
    });
  }

  /** Cache events that are old enough to be seen, some of them lost. */
  cacheEvents(after: number): readonly PublishedEvent[] {
    const nowMs = Date.now();
    return this.#events.filter(
      event => event.number > after && event.visibleAtMs <= nowMs,
    );
  }

  #publish(event: CacheEvent, nowMs: number): void {
    this.#eventNumber += 1;
    if (this.#random() < this.settings.cacheEventLoss) {
      return;
    }
    const visibleAtMs = nowMs + this.settings.cacheEventLagMs;
    const published = { ...event, number: this.#eventNumber, visibleAtMs };
    this.#events = [...this.#events, published].slice(-MAX_CACHE_EVENTS);
  }
}

function addChat(app: FastifyInstance, engine: Engine): void {
  const answer = (chat: ChatRequest, reply: FastifyReply): void => {
    const id = engine.nextId();
    const plan = planSequence(id, chat, engine.kv);
    streamAnswer(reply, engine.driver, plan);
  };
  app.post('/v1/chat/completions', (req, reply) => {
    if (engine.crashed) {
      void reply.code(UNAVAILABLE).send({ error: { message: 'crashed' } });
      return reply;
    }
    const parsed = chatSchema.safeParse(req.body);
    if (!parsed.success) {
      void reply
        .code(BAD_REQUEST)
        .send({ error: { message: parsed.error.message } });
      return reply;
    }
    if (!engine.settings.models.includes(parsed.data.model)) {
      void reply.code(NOT_FOUND).send({ error: { message: 'no such model' } });
      return reply;
    }
    answer(parsed.data, reply);
    return reply;
  });
}

function addReports(app: FastifyInstance, engine: Engine): void {
  app.get('/load', (_req, reply) => {
    if (engine.crashed) {
      void reply.code(UNAVAILABLE).send({});
      return reply;
    }
    const { atMs, value } = engine.load.read(Date.now());
    return reply.send({ ...value, takenAtMs: Math.max(0, atMs) });
  });
  app.get<{ Querystring: { after?: string } }>('/cache-events', req =>
    engine.cacheEvents(Number(req.query.after ?? 0)),
  );
}

function addCounts(app: FastifyInstance, engine: Engine): void {
  app.get('/control/counts', () => ({
    generatedTokens: engine.model.generatedTokens,
  }));
}

function addOrders(app: FastifyInstance, engine: Engine): void {
  app.post('/orders', (req, reply) => {
    const parsed = orderSchema.safeParse(req.body);
    if (!parsed.success) {
      return reply
        .code(BAD_REQUEST)
        .send({ error: { message: parsed.error.message } });
    }
    const stale = parsed.data.fencing < engine.highestFencing;
    if (engine.settings.checksFencing && stale) {
      return reply
        .code(CONFLICT)
        .send({ error: { message: 'old fencing number' } });
    }
    engine.highestFencing = Math.max(
      engine.highestFencing,
      parsed.data.fencing,
    );
    engine.orders.push(parsed.data);
    return reply.send({ accepted: true });
  });
  app.get('/orders', () => engine.orders);
}

function addKv(app: FastifyInstance, engine: Engine): void {
  app.get<{ Params: { id: string } }>('/kv/:id', (req, reply) => {
    const blob = engine.kv.export(req.params.id);
    return blob ? reply.send(blob) : reply.code(NOT_FOUND).send({});
  });
  app.post('/kv', (req, reply) => {
    const handle = engine.kv.import(req.body);
    return handle
      ? reply.send({ handle })
      : reply.code(BAD_REQUEST).send({ error: { message: 'no KV blob' } });
  });
}

function addFaults(app: FastifyInstance, engine: Engine): void {
  app.post('/control/faults', (req, reply) => {
    const parsed = engineFaultsBodySchema.safeParse(req.body);
    if (!parsed.success) {
      return reply
        .code(BAD_REQUEST)
        .send({ error: { message: parsed.error.message } });
    }
    const { slowdown, silenceOpen, crashed } = parsed.data;
    engine.model.slowdown = slowdown ?? engine.model.slowdown;
    engine.crashed = crashed ?? engine.crashed;
    if (silenceOpen) {
      engine.driver.silenceOpen();
    }
    if (crashed) {
      engine.driver.crash();
    }
    return reply.send({});
  });
}

/**
 * Starts the engine stand-in.
 *
 * @param settings - checked settings; port 0 takes any free port
 * @returns the running server
 */
export async function startEngine(
  settings: SettingsOf<'engine'>,
): Promise<RunningServer> {
  const app = fastify({ forceCloseConnections: true });
  const engine = new Engine(settings);
  addChat(app, engine);
  addReports(app, engine);
  addCounts(app, engine);
  addOrders(app, engine);
  addKv(app, engine);
  addFaults(app, engine);
  const sampler = setInterval(() => {
    engine.sample();
  }, REPORT_EVERY_MS);
  const url = await app.listen(settings.listen);
  return {
    url,
    stop: async () => {
      clearInterval(sampler);
      engine.driver.stop();
      await app.close();
    },
  };
}
