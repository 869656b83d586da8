import { once } from 'node:events';
import type { Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { listenOn } from '@jujubecroft/stand-ins/util';
import { describe } from '@jujubecroft/testing';
import type { RequestId } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import type { BackendPool } from '../../src/backends/BackendConnections.js';
import { KeepAliveAgent } from '../../src/backends/KeepAliveAgent.js';
import type {
  ExchangeListener,
  RunningExchange,
} from '../../src/backends/sendAttempt.js';
import { sendAttempt } from '../../src/backends/sendAttempt.js';

const HOST = '127.0.0.1';
const SETTLED_MS = 40;
const RESET_COUNT = 60;
const BLOCKED_MS = 300;

interface Fixture {
  /**
   * Responses to the requests that reached the server; the tests complete them.
   */
  readonly held: ServerResponse[];
  /** Waits until the next request has reached the server. */
  readonly nextRequest: () => Promise<unknown>;
  readonly send: (
    maySend: () => boolean,
    listener?: Partial<ExchangeListener>,
  ) => RunningExchange;
}

async function withServer(
  body: (fixture: Fixture) => Promise<void>,
  maxConnections = 1,
): Promise<void> {
  const held: ServerResponse[] = [];
  const server: Server = createServer((_req, res) => {
    held.push(res);
  });
  const port = await listenOn(server, HOST);
  const agent = new KeepAliveAgent({
    maxConnections,
    connectTimeoutMs: 400,
  });
  const pool: BackendPool = { host: HOST, port, agent, relayOf: () => null };
  const send: Fixture['send'] = (maySend, listener = {}) =>
    sendAttempt(
      pool,
      {
        id: brand<RequestId>('r-1'),
        method: 'GET',
        target: '/',
        headers: ['Host', HOST],
        body: null,
      },
      { maySend, onStart: () => false, onData: () => true, ...listener },
    );
  try {
    await body({ held, send, nextRequest: () => once(server, 'request') });
  } finally {
    agent.destroy();
    server.close();
    server.closeAllConnections();
  }
}

describe('sendAttempt', ({ it, itAlone }) => {
  // Guards against a reset that is taken for the end of a response without
  // framing because many connections are reset at once while the event loop is
  // blocked.
  itAlone('recognises all of many resets that are read late', async t => {
    await withServer(async ({ held, send }) => {
      const sent = Array.from({ length: RESET_COUNT }, () => send(() => true));
      while (held.length < RESET_COUNT) {
        await sleep(SETTLED_MS);
      }
      held.forEach(({ socket }) => {
        socket?.write('HTTP/1.1 200 OK\r\n\r\nhalf');
        socket?.resetAndDestroy();
      });
      const untilMs = performance.now() + BLOCKED_MS;
      while (performance.now() < untilMs) {
        // Blocks the event loop.
      }
      const ends = await Promise.all(sent.map(({ ended }) => ended));
      t.deepEqual([...new Set(ends.map(({ kind }) => kind))], ['failed']);
    }, RESET_COUNT);
  });

  // Guards against requests to a replica that is stopping: the replica
  // announced its stop while the request waited for a connection.
  it('does not send a request that is no longer permitted when a connection becomes free', async t => {
    await withServer(async ({ held, send, nextRequest }) => {
      const arrived = nextRequest();
      const first = send(() => true);
      await arrived;
      const second = send(() => false);
      held[0]?.end('whole');
      t.is((await first.ended).kind, 'complete');
      t.deepEqual(await second.ended, {
        kind: 'failed',
        sent: false,
        reason: 'replica may no longer receive the request',
        reused: true,
        wasReset: false,
      });
      await sleep(SETTLED_MS);
      t.is(held.length, 1);
    });
  });

  it('does not send a request that is not permitted on a newly opened connection', async t => {
    await withServer(async ({ held, send, nextRequest }) => {
      const { kind } = await send(() => false).ended;
      t.is(kind, 'failed');
      await sleep(SETTLED_MS);
      t.is(held.length, 0);
      const arrived = nextRequest();
      const next = send(() => true);
      await arrived;
      held[0]?.end('whole');
      t.is((await next.ended).kind, 'complete');
    });
  });

  const throwError = (): never => {
    throw new Error('listener failed');
  };
  const failing: readonly (readonly [
    string,
    Partial<ExchangeListener>,
    boolean,
  ])[] = [
    ['check before the first byte', { maySend: throwError }, false],
    ['head', { onStart: throwError }, true],
    ['body', { onData: throwError }, true],
  ];
  failing.forEach(([title, listener, sent]) => {
    // Guards against an error while a response is processed, which ended the process with
    // the requests of all callers.
    it(`ends only the exchange whose listener of the ${title} throws`, async t => {
      await withServer(async ({ held, send, nextRequest }) => {
        const arrived = nextRequest();
        const failed = send(() => true, listener);
        if (sent) {
          await arrived;
          held[0]?.end('whole');
        }
        const end = await failed.ended;
        t.like(end, { kind: 'invalid', sent });
        const next = nextRequest();
        const sound = send(() => true);
        await next;
        held.at(-1)?.end('whole');
        t.is((await sound.ended).kind, 'complete');
      });
    });
  });

  const ends: readonly (readonly [string, string, 'failed' | 'invalid'])[] = [
    ['bytes that are not HTTP', 'no response\r\n\r\n', 'invalid'],
    ['the end of the connection in a head', 'HTTP/1.1 200 OK\r\nx-a', 'failed'],
    [
      'the end of the connection in a chunk',
      'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nhalf',
      'failed',
    ],
  ];
  ends.forEach(([title, bytes, kind]) => {
    // Guards against the end of a crashed replica that is taken for bytes of a running one,
    // and the reverse.
    it(`reports ${title} as ${kind}`, async t => {
      await withServer(async ({ held, send, nextRequest }) => {
        const arrived = nextRequest();
        const exchange = send(() => true);
        await arrived;
        held[0]?.socket?.end(bytes);
        t.is((await exchange.ended).kind, kind);
      });
    });
  });

  const REJECTION = 'HTTP/1.1 503 Full\r\ntransfer-encoding: chunked\r\n\r\n';
  const LAST_CHUNK = '0\r\n';
  const rejections: readonly (readonly [
    string,
    string,
    'complete' | 'invalid',
  ])[] = [
    ['alone', `${REJECTION}${LAST_CHUNK}\r\n`, 'complete'],
    [
      'after an interim response without fields',
      `HTTP/1.1 100 Continue\r\n\r\n${REJECTION}${LAST_CHUNK}\r\n`,
      'complete',
    ],
    [
      'after an interim response with fields',
      `HTTP/1.1 103 Early\r\nx-a: 1\r\n\r\n${REJECTION}${LAST_CHUNK}\r\n`,
      'invalid',
    ],
    ['with trailers', `${REJECTION}${LAST_CHUNK}x-a: 1\r\n\r\n`, 'invalid'],
  ];
  rejections.forEach(([title, bytes, kind]) => {
    // Guards against a rejection that is believed although another part of the response
    // may say the contrary.
    it(`reports a rejection ${title} as ${kind}`, async t => {
      await withServer(async ({ held, send, nextRequest }) => {
        const arrived = nextRequest();
        const exchange = send(() => true, { onStart: () => true });
        await arrived;
        const socket = held[0]?.socket;
        socket?.write(bytes);
        t.is((await exchange.ended).kind, kind);
        await sleep(SETTLED_MS);
        t.is(socket?.destroyed, kind === 'invalid');
      });
    });
  });

  // Guards against a success that is refused for its trailers.
  it('reports a response other than a rejection with trailers as complete', async t => {
    await withServer(async ({ held, send, nextRequest }) => {
      const arrived = nextRequest();
      const exchange = send(() => true);
      await arrived;
      held[0]?.socket?.write(`${REJECTION}${LAST_CHUNK}x-a: 1\r\n\r\n`);
      t.is((await exchange.ended).kind, 'complete');
    });
  });
});
