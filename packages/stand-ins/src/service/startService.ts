import fastify from 'fastify';
import { z } from 'zod';
import type { SettingsOf } from '@jujubecroft/settings';
import { createRandom, STRICT_PARSER } from '@jujubecroft/types';

import { DelayedValue } from '../util/DelayedValue.js';
import { NOT_RUN_HEADERS } from '../util/notRunHeaders.js';
import type { RunningServer } from '../util/RunningServer.js';

const SAMPLE_INTERVAL_MS = 50;
const OK = 200;
const BAD_REQUEST = 400;
const UNAVAILABLE = 503;

/** Fault switches of the service; those left out keep their state. */
const faultsSchema = z.object({
  /** Whether all calls fail with status 503. */
  crashed: z.boolean().optional(),
  /**
   * Whether to run each call and then close its connection instead of replying.
   */
  cutReplies: z.boolean().optional(),
  /**
   * Whether to send half a reply with neither a length nor chunks, and close the
   * connection.
   */
  unframedReplies: z.boolean().optional(),
});

/**
 * State of a service with bounded concurrency that counts how often each call
 * ran.
 */
class ServiceState {
  crashed = false;
  cutReplies = false;
  unframedReplies = false;
  running = 0;
  /** Callbacks that start the waiting calls, first come first served. */
  readonly waiting: (() => void)[] = [];
  /** Number of runs for each idempotency key. */
  readonly runs = new Map<string, number>();
  readonly load: DelayedValue<{ running: number; waiting: number }>;
  readonly #random: () => number;

  constructor(readonly settings: SettingsOf<'service'>) {
    this.load = new DelayedValue(settings.reportLagMs, {
      running: 0,
      waiting: 0,
    });
    this.#random = createRandom(settings.seed);
  }

  /**
   * Runs one call: waits for a free slot, then for an exponentially distributed
   * service time.
   *
   * @param key - idempotency key under which the run is counted
   */
  async work(key: string): Promise<void> {
    await this.#acquireSlot();
    this.runs.set(key, (this.runs.get(key) ?? 0) + 1);
    const durationMs =
      -Math.log(1 - this.#random()) * this.settings.meanServiceMs;
    await new Promise(resolve => setTimeout(resolve, durationMs));
    this.#releaseSlot();
  }

  /** Records the current load. */
  sample(): void {
    const { running, waiting } = this;
    this.load.record({ running, waiting: waiting.length }, Date.now());
  }

  async #acquireSlot(): Promise<void> {
    if (this.running >= this.settings.concurrency) {
      await new Promise<void>(resolve => this.waiting.push(resolve));
      return;
    }
    this.running += 1;
  }

  #releaseSlot(): void {
    const next = this.waiting.shift();
    if (next) {
      next();
      return;
    }
    this.running -= 1;
  }
}

/**
 * Starts the service stand-in: an HTTP server that echoes each call after a
 * random service time. The header `x-want-status` sets the status of the reply.
 *
 * @param settings - validated settings; port 0 selects any free port
 * @returns the running server
 */
export async function startService(
  settings: SettingsOf<'service'>,
): Promise<RunningServer> {
  const app = fastify({ http: STRICT_PARSER, forceCloseConnections: true });
  const service = new ServiceState(settings);
  app.addContentTypeParser('*', { parseAs: 'string' }, (_req, body, done) => {
    done(null, body);
  });
  app.get('/load', (_req, reply) => {
    if (service.crashed) {
      return reply.code(UNAVAILABLE).send({});
    }
    const { atMs, value } = service.load.read(Date.now());
    return reply.send({ ...value, takenAtMs: Math.max(0, atMs) });
  });
  app.get('/control/runs', () => Object.fromEntries(service.runs));
  app.post('/control/faults', (req, reply) => {
    const parsed = faultsSchema.safeParse(req.body);
    if (!parsed.success) {
      return reply.code(BAD_REQUEST).send({});
    }
    service.crashed = parsed.data.crashed ?? service.crashed;
    service.cutReplies = parsed.data.cutReplies ?? service.cutReplies;
    service.unframedReplies =
      parsed.data.unframedReplies ?? service.unframedReplies;
    return reply.send({});
  });
  app.all('/*', async (req, reply) => {
    if (service.crashed) {
      return reply
        .code(UNAVAILABLE)
        .headers(NOT_RUN_HEADERS)
        .send({ error: 'crashed' });
    }
    const key = req.headers['idempotency-key'];
    await service.work(typeof key === 'string' ? key : 'none');
    if (service.cutReplies) {
      reply.hijack().raw.destroy();
      return reply;
    }
    if (service.unframedReplies) {
      const { raw } = reply.hijack();
      raw.useChunkedEncodingByDefault = false;
      raw.shouldKeepAlive = false;
      raw.writeHead(OK, { 'x-served-by': settings.id });
      raw.end('{"half":');
      return reply;
    }
    const status = Number(req.headers['x-want-status'] ?? 200);
    return reply
      .code(status)
      .header('x-served-by', settings.id)
      .send({ method: req.method, url: req.url, body: req.body ?? null });
  });
  const sampler = setInterval(() => {
    service.sample();
  }, SAMPLE_INTERVAL_MS);
  const url = await app.listen(settings.listen);
  return {
    url,
    stop: async () => {
      clearInterval(sampler);
      await app.close();
    },
  };
}
