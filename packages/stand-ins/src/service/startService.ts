import fastify from 'fastify';
import { z } from 'zod';
import type { SettingsOf } from '@jujubecroft/settings';
import { createRandom } from '@jujubecroft/types';

import { Lagging } from '../util/Lagging.js';
import type { RunningServer } from '../util/RunningServer.js';

const REPORT_EVERY_MS = 50;
const BAD_REQUEST = 400;
const UNAVAILABLE = 503;

const faultsSchema = z.object({
  crashed: z.boolean().optional(),
  /** Take the call, run it, and cut the connection instead of replying. */
  cutReplies: z.boolean().optional(),
});

/** A plain service that counts how often each call ran. */
class PlainService {
  crashed = false;
  cutReplies = false;
  running = 0;
  readonly waiting: (() => void)[] = [];
  /** How often each idempotency key ran. */
  readonly runs = new Map<string, number>();
  readonly load: Lagging<{ running: number; waiting: number }>;
  readonly #random: () => number;

  constructor(readonly settings: SettingsOf<'service'>) {
    this.load = new Lagging(settings.reportLagMs, { running: 0, waiting: 0 });
    this.#random = createRandom(settings.seed);
  }

  async work(key: string): Promise<void> {
    await this.#enter();
    this.runs.set(key, (this.runs.get(key) ?? 0) + 1);
    const durationMs =
      -Math.log(1 - this.#random()) * this.settings.meanServiceMs;
    await new Promise(resolve => setTimeout(resolve, durationMs));
    this.#leave();
  }

  sample(): void {
    const { running, waiting } = this;
    this.load.record({ running, waiting: waiting.length }, Date.now());
  }

  async #enter(): Promise<void> {
    if (this.running >= this.settings.concurrency) {
      await new Promise<void>(resolve => this.waiting.push(resolve));
      return;
    }
    this.running += 1;
  }

  #leave(): void {
    const next = this.waiting.shift();
    if (next) {
      next();
      return;
    }
    this.running -= 1;
  }
}

/**
 * Starts the plain-service stand-in: it echoes each call after a service time.
 *
 * @param settings - checked settings; port 0 takes any free port
 * @returns the running server
 */
export async function startService(
  settings: SettingsOf<'service'>,
): Promise<RunningServer> {
  const app = fastify({ forceCloseConnections: true });
  const service = new PlainService(settings);
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
    return reply.send({});
  });
  app.all('/*', async (req, reply) => {
    if (service.crashed) {
      return reply.code(UNAVAILABLE).send({ error: 'crashed' });
    }
    const key = req.headers['idempotency-key'];
    await service.work(typeof key === 'string' ? key : 'none');
    if (service.cutReplies) {
      reply.hijack().raw.destroy();
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
  }, REPORT_EVERY_MS);
  const url = await app.listen(settings.listen);
  return {
    url,
    stop: async () => {
      clearInterval(sampler);
      await app.close();
    },
  };
}
