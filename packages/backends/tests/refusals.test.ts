import { createServer } from 'node:http';
import type { AttemptFailure } from '@jujubecroft/decisions';
import { listenOn } from '@jujubecroft/stand-ins/util';
import { describe } from '@jujubecroft/testing';
import type {
  BackendServer,
  BackendServerId,
  FailureDomainId,
  ModelId,
} from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';
import { Pool } from 'undici';

import type { AttemptListener } from '../src/index.js';
import { startEngineAttempt, startServiceAttempt } from '../src/index.js';

const HOST = '127.0.0.1';
const STATEMENT = { 'x-not-run': 'true' };
const SERVER: BackendServer = {
  kind: 'backendServer',
  id: brand<BackendServerId>('b-1'),
  url: `http://${HOST}`,
  failureDomain: brand<FailureDomainId>('d-1'),
  models: [],
  services: [],
  capacity: 1,
  checksFencing: false,
  leaving: false,
};

interface Refusal {
  readonly status: number;
  readonly headers?: Readonly<Record<string, string>>;
  /** Whether the connection ends inside the body. */
  readonly isCut?: boolean;
}

type Start = (pool: Pool, listener: AttemptListener<unknown>) => void;

const startService: Start = (pool, listener) => {
  const call = { method: 'POST', path: '/', headers: {}, body: null };
  startServiceAttempt(pool, call, listener);
};

const startEngine: Start = (pool, listener) => {
  const call = {
    server: SERVER,
    model: brand<ModelId>('m'),
    messages: [],
    maxTokens: 1,
    priority: 1,
    delivered: '',
    deliveredTokens: 0,
  };
  startEngineAttempt(pool, call, listener);
};

/** Sends one attempt to a server that refuses it; null if the attempt succeeds. */
async function failureOf(
  start: Start,
  { status, headers = {}, isCut = false }: Refusal,
): Promise<AttemptFailure | null> {
  const server = createServer((_req, res) => {
    res.writeHead(status, { ...headers, 'content-length': '4' });
    if (isCut) {
      res.write('no', () => res.destroy());
    } else {
      res.end('none');
    }
  });
  const port = await listenOn(server, HOST);
  const pool = new Pool(`http://${HOST}:${port}`);
  try {
    return await new Promise(resolve => {
      start(pool, {
        onProgress: () => undefined,
        onFinished: () => {
          resolve(null);
        },
        onFailed: resolve,
      });
    });
  } finally {
    await pool.destroy();
    server.close();
  }
}

const TARGETS: readonly (readonly [string, Start, readonly number[]])[] = [
  ['plain service', startService, [503]],
  ['engine', startEngine, [400, 404, 429, 500, 503]],
];

describe('a refusal by a backend server', suite => {
  TARGETS.forEach(([target, start, statuses]) => {
    suite.describe(target, ({ it }) => {
      statuses.forEach(status => {
        // Guards against a failure after the run that is taken for a refusal: the caller
        // is told "not run", and repeats a request that ran.
        it(`proves nothing by its status alone: ${status}`, async t => {
          const failure = await failureOf(start, { status });
          t.is(failure?.ran, 'maybe');
        });

        it(`proves that the request did not run by its statement: ${status}`, async t => {
          const refusal = { status, headers: STATEMENT };
          t.deepEqual(await failureOf(start, refusal), {
            ran: 'no',
            reason: 'refused',
          });
        });
      });

      // Guards against a success that is reported as not run, or a refusal that is
      // reported as the answer.
      it('proves nothing by a statement that its status contradicts', async t => {
        const refusal = { status: 200, headers: STATEMENT };
        t.is((await failureOf(start, refusal))?.ran, 'maybe');
      });

      // Guards against a statement that is believed although its response never ended.
      it('proves nothing by a statement whose response is cut off', async t => {
        const refusal = { status: 503, headers: STATEMENT, isCut: true };
        t.is((await failureOf(start, refusal))?.ran, 'maybe');
      });
    });
  });
});
