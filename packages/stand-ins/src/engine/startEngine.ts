import type { FastifyInstance, FastifyReply } from 'fastify';
import fastify from 'fastify';
import type { SettingsOf } from '@jujubecroft/settings';
import { createRandom, STRICT_PARSER } from '@jujubecroft/types';

import type { RunningServer } from '../util/RunningServer.js';
import { DelayedValue } from '../util/DelayedValue.js';
import { NOT_RUN_HEADERS } from '../util/notRunHeaders.js';
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

const SAMPLE_INTERVAL_MS = 50;
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
  /** Consecutive number; a gap tells the reader that an event was lost. */
  readonly number: number;
  /** Unix time from which on the event is returned to readers. */
  readonly visibleAtMs: number;
}

/** State of one engine stand-in. */
class Engine {
  readonly model: EngineModel;
  readonly driver: EngineDriver;
  readonly kv = new KvStore();
  readonly load: DelayedValue<LoadReading>;
  crashed: boolean;
  highestFencingToken = -1;
  /** Accepted orders, oldest first. */
  readonly orders: unknown[] = [];
  #events: PublishedEvent[] = [];
  #lastEventNumber = 0;
  #lastSequenceNumber = 0;
  readonly #random: () => number;

  constructor(readonly settings: SettingsOf<'engine'>) {
    this.model = new EngineModel(settings.model);
    this.model.slowdown = settings.faults.slowdown;
    this.driver = new EngineDriver(this.model);
    this.crashed = settings.faults.crashed;
    this.load = new DelayedValue<LoadReading>(settings.reportLagMs, {
      running: 0,
      waiting: 0,
    });
    this.#random = createRandom(settings.seed);
  }

  nextId(): string {
    this.#lastSequenceNumber += 1;
    return `${this.settings.id}-${this.#lastSequenceNumber}`;
  }

  /** Records the current load and publishes pending cache events. */
  sample(): void {
    const { running, waiting } = this.model;
    const nowMs = Date.now();
    this.load.record({ running, waiting }, nowMs);
    this.model.cache.drainEvents().forEach(event => {
      this.#publish(event, nowMs);
    });
  }

  /**
   * Published cache events that are older than the configured lag. A configured
   * share of the events is never published.
   *
   * @param after - only events with a higher number are returned
   */
  cacheEvents(after: number): readonly PublishedEvent[] {
    const nowMs = Date.now();
    return this.#events.filter(
      event => event.number > after && event.visibleAtMs <= nowMs,
    );
  }

  #publish(event: CacheEvent, nowMs: number): void {
    this.#lastEventNumber += 1;
    if (this.#random() < this.settings.cacheEventLoss) {
      return;
    }
    const visibleAtMs = nowMs + this.settings.cacheEventLagMs;
    const published = { ...event, number: this.#lastEventNumber, visibleAtMs };
    this.#events = [...this.#events, published].slice(-MAX_CACHE_EVENTS);
  }
}

function addChatRoute(app: FastifyInstance, engine: Engine): void {
  const startAnswer = (chat: ChatRequest, reply: FastifyReply): void => {
    const id = engine.nextId();
    const plan = planSequence(id, chat, engine.kv);
    streamAnswer(reply, engine.driver, plan);
  };
  const refuse = (
    reply: FastifyReply,
    status: number,
    message: string,
  ): FastifyReply =>
    reply.code(status).headers(NOT_RUN_HEADERS).send({ error: { message } });

  app.post('/v1/chat/completions', (req, reply) => {
    if (engine.crashed) {
      return refuse(reply, UNAVAILABLE, 'crashed');
    }
    const parsed = chatSchema.safeParse(req.body);
    if (!parsed.success) {
      return refuse(reply, BAD_REQUEST, parsed.error.message);
    }
    if (!engine.settings.models.includes(parsed.data.model)) {
      return refuse(reply, NOT_FOUND, 'no such model');
    }
    startAnswer(parsed.data, reply);
    return reply;
  });
}

function addReportRoutes(app: FastifyInstance, engine: Engine): void {
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

function addCountsRoute(app: FastifyInstance, engine: Engine): void {
  app.get('/control/counts', () => ({
    generatedTokens: engine.model.generatedTokens,
  }));
}

function addOrderRoutes(app: FastifyInstance, engine: Engine): void {
  app.post('/orders', (req, reply) => {
    const parsed = orderSchema.safeParse(req.body);
    if (!parsed.success) {
      return reply
        .code(BAD_REQUEST)
        .send({ error: { message: parsed.error.message } });
    }
    const stale = parsed.data.fencing < engine.highestFencingToken;
    if (engine.settings.checksFencing && stale) {
      return reply
        .code(CONFLICT)
        .send({ error: { message: 'old fencing number' } });
    }
    engine.highestFencingToken = Math.max(
      engine.highestFencingToken,
      parsed.data.fencing,
    );
    engine.orders.push(parsed.data);
    return reply.send({ accepted: true });
  });
  app.get('/orders', () => engine.orders);
}

function addKvRoutes(app: FastifyInstance, engine: Engine): void {
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

function addFaultsRoute(app: FastifyInstance, engine: Engine): void {
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
 * Starts the engine stand-in: an HTTP server that streams deterministic answers
 * with the timing of `EngineModel`, and publishes load and cache events.
 *
 * @param settings - validated settings; port 0 selects any free port
 * @returns the running server
 */
export async function startEngine(
  settings: SettingsOf<'engine'>,
): Promise<RunningServer> {
  const app = fastify({ http: STRICT_PARSER, forceCloseConnections: true });
  const engine = new Engine(settings);
  addChatRoute(app, engine);
  addReportRoutes(app, engine);
  addCountsRoute(app, engine);
  addOrderRoutes(app, engine);
  addKvRoutes(app, engine);
  addFaultsRoute(app, engine);
  const sampler = setInterval(() => {
    engine.sample();
  }, SAMPLE_INTERVAL_MS);
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
