import { once } from 'node:events';
import { createServer } from 'node:http';
import type { Socket } from 'node:net';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { listenOn } from '@jujubecroft/stand-ins/util';
import { describe } from '@jujubecroft/testing';
import type { RequestId } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import { KeepAliveAgent } from '../../src/backends/KeepAliveAgent.js';
import type {
  ExchangeListener,
  RunningExchange,
} from '../../src/backends/sendAttempt.js';
import { sendAttempt } from '../../src/backends/sendAttempt.js';

const HOST = '127.0.0.1';
const SETTLED_MS = 60;
const ID_HEADER = 'id';

interface Fixture {
  /** Ids of the requests that reached the server. */
  readonly received: readonly string[];
  /** Answers the requests that reached the server. */
  readonly answerAll: () => void;
  /** Resets the connections of the requests that reached the server. */
  readonly resetAll: () => void;
  /** Connections that are being opened; the tests decide how that ends. */
  readonly openings: {
    readonly succeed: () => Promise<void>;
    readonly fail: () => void;
  }[];
  readonly send: (
    id: string,
    listener?: Partial<ExchangeListener>,
  ) => RunningExchange;
}

/** Runs a test body with a server and one connection to it, whose opening the test decides. */
async function withOpenings(
  body: (fixture: Fixture) => Promise<void>,
): Promise<void> {
  const received: string[] = [];
  const sockets: Socket[] = [];
  const answers: (() => void)[] = [];
  const server = createServer((req, res) => {
    received.push(String(req.headers[ID_HEADER]));
    sockets.push(req.socket);
    answers.push(() => res.end('whole'));
  });
  const port = await listenOn(server, HOST);
  const openings: Fixture['openings'] = [];
  const agent = new KeepAliveAgent({
    maxConnections: 1,
    mayKeep: () => true,
    open: () =>
      new Promise((resolve, reject) => {
        openings.push({
          succeed: async () => {
            const socket = connect(port, HOST);
            await once(socket, 'connect');
            resolve(socket);
            await sleep(SETTLED_MS);
          },
          fail: () => {
            reject(new Error('not reached'));
          },
        });
      }),
  });
  const pool = { host: HOST, port, agent, relayOf: () => null };
  try {
    await body({
      received,
      openings,
      answerAll: () => {
        answers.splice(0).forEach(answer => {
          answer();
        });
      },
      resetAll: () => {
        sockets.splice(0).forEach(socket => {
          socket.resetAndDestroy();
        });
      },
      send: (id, listener = {}) =>
        sendAttempt(
          pool,
          {
            id: brand<RequestId>(id),
            method: 'POST',
            target: '/',
            headers: ['Host', HOST, ID_HEADER, id],
            body: Buffer.from('content'),
          },
          {
            maySend: () => true,
            onStart: () => false,
            onData: () => true,
            ...listener,
          },
        ),
    });
  } finally {
    agent.destroy();
    server.close();
    server.closeAllConnections();
  }
}

describe('an attempt that was reported as not sent', ({ it }) => {
  // Guards against a request that runs after its refusal: it waits for a connection, the
  // connection that is opened for it fails, and another one becomes free later.
  it('is not sent when a later connection becomes free', async t => {
    await withOpenings(async ({ received, openings, send, ...server }) => {
      const first = send('first');
      await openings[0]?.succeed();
      const waiting = send('waiting');
      server.resetAll();
      t.is((await first.ended).kind, 'failed');
      await sleep(SETTLED_MS);
      openings[1]?.fail();
      t.like(await waiting.ended, { kind: 'failed', sent: false });
      const last = send('last');
      await openings[2]?.succeed();
      server.answerAll();
      t.is((await last.ended).kind, 'complete');
      await sleep(SETTLED_MS);
      t.deepEqual(received, ['first', 'last']);
    });
  });

  // Guards against a request that is sent although it was withdrawn while its connection
  // was being opened.
  it('is not sent when its connection opens after it was withdrawn', async t => {
    await withOpenings(async ({ received, openings, send, ...server }) => {
      const withdrawn = send('withdrawn');
      withdrawn.abort();
      t.deepEqual(await withdrawn.ended, { kind: 'aborted', sent: false });
      await openings[0]?.succeed();
      const last = send('last');
      await openings[1]?.succeed();
      server.answerAll();
      t.is((await last.ended).kind, 'complete');
      t.deepEqual(received, ['last']);
    });
  });

  // Guards against a second start of an attempt that outlives its withdrawal: a connection
  // that rejected the request is refused for it, and another one is requested.
  it('is not sent on the connection that replaces a refused one', async t => {
    await withOpenings(async ({ received, openings, send, ...server }) => {
      const rejected = send('repeated', { onStart: () => true });
      await openings[0]?.succeed();
      server.answerAll();
      t.is((await rejected.ended).kind, 'complete');
      await sleep(SETTLED_MS);
      const repeated = send('repeated');
      await sleep(SETTLED_MS);
      t.is(openings.length, 2);
      repeated.abort();
      t.deepEqual(await repeated.ended, { kind: 'aborted', sent: false });
      await openings[1]?.succeed();
      t.deepEqual(received, ['repeated']);
    });
  });
});

describe('requests that wait for a connection', ({ it }) => {
  // Guards against requests that wait up to their time limit for nothing: the connection
  // that is opened for the first of them fails, and no other one is requested.
  it('do not wait on when the opening for one of them fails', async t => {
    await withOpenings(async ({ openings, send, ...server }) => {
      const running = send('running');
      await openings[0]?.succeed();
      const first = send('first');
      const second = send('second');
      server.resetAll();
      await running.ended;
      await sleep(SETTLED_MS);
      openings[1]?.fail();
      t.like(await first.ended, { kind: 'failed', sent: false });
      await sleep(SETTLED_MS);
      const next = openings[2]?.succeed().then(() => {
        server.answerAll();
      });
      const state = await Promise.race([
        second.ended.then(() => 'ended'),
        sleep(4 * SETTLED_MS).then(() => 'waits'),
      ]);
      t.is(state, 'ended');
      await next;
    });
  });
});
