import { once } from 'node:events';
import type { AddressInfo, Socket } from 'node:net';
import { connect } from 'node:net';
import type { ServerResponse } from 'node:http';
import type { NestFastifyApplication } from '@nestjs/platform-fastify';
import { SILENT_LOG } from '@jujubecroft/events';
import { describe } from '@jujubecroft/testing';

import { createHttpApp } from '../../src/http/createHttpApp.js';
import type { InstanceContext } from '../../src/InstanceContext.js';

const HEAD = 'Host: a.example\r\n';
const LARGE_HEADER = `X-Any: ${'a'.repeat(20_000)}\r\n`;

/** A call that the application handles, and its connection. */
interface RunningCall {
  readonly socket: Socket;
  readonly res: ServerResponse;
  /** Returns all bytes received. */
  readonly received: () => string;
  /** Settles when the connection is closed. */
  readonly closed: Promise<unknown>;
}

/** Runs a test body with an application whose route `/slow` answers when told to. */
async function withSlowCall(
  body: (call: RunningCall, logged: readonly unknown[]) => Promise<void>,
): Promise<void> {
  const logged: unknown[] = [];
  const log = {
    ...SILENT_LOG,
    write: (event: string, fields: object) => {
      logged.push({ event, ...fields });
    },
  };
  const app: NestFastifyApplication = await createHttpApp({
    settings: { maxBodyBytes: 1000 },
    log,
  } as unknown as InstanceContext);
  const fastify = app.getHttpAdapter().getInstance();
  const started = new Promise<ServerResponse>(resolve => {
    fastify.post('/slow', (_req, reply) => {
      reply.hijack();
      resolve(reply.raw);
    });
  });
  await app.listen(0, '127.0.0.1');
  try {
    const { port } = fastify.server.address() as AddressInfo;
    const socket = connect(port, '127.0.0.1');
    let text = '';
    socket.on('data', chunk => {
      text += chunk.toString('latin1');
    });
    const closed = once(socket, 'close');
    socket.write(`POST /slow HTTP/1.1\r\n${HEAD}Content-Length: 0\r\n\r\n`);
    const res = await started;
    await body({ socket, res, received: () => text, closed }, logged);
  } finally {
    fastify.server.closeAllConnections();
    await app.close();
  }
}

describe('a call that runs while its connection fails', suite => {
  [
    ['bytes that are no request', '\u0001\r\n\r\n'],
    ['a head that is too large', `GET /x HTTP/1.1\r\n${HEAD}${LARGE_HEADER}`],
    [
      'a chunk without a size',
      `POST /slow HTTP/1.1\r\n${HEAD}Transfer-Encoding: chunked\r\n\r\nno size\r\n`,
    ],
  ].forEach(([what = '', bytes = '']) => {
    // Guards against a status of the framework in place of the answer to a call that a
    // backend server runs.
    suite.it(`is answered whole before ${what}`, async t => {
      await withSlowCall(async ({ socket, res, received, closed }, logged) => {
        socket.write(bytes);
        await new Promise(resolve => setTimeout(resolve, 200));
        t.is(received(), '');
        t.like(logged[0], { event: 'connectionError', status: null });
        res.end('whole');
        await closed;
        t.regex(received(), /^HTTP\/1\.1 200 [^]+\r\n\r\nwhole$/);
      });
    });
  });

  // Guards against a status line inside a stream.
  suite.it('is answered whole if its answer has begun', async t => {
    await withSlowCall(async ({ socket, res, received, closed }) => {
      res.write('first ');
      socket.write('\u0001\r\n\r\n');
      await new Promise(resolve => setTimeout(resolve, 200));
      res.end('last');
      await closed;
      t.regex(
        received(),
        /^HTTP\/1\.1 200 [^]+\r\n6\r\nfirst \r\n4\r\nlast\r\n0\r\n\r\n$/,
      );
      t.is(received().split('HTTP/1.1').length, 2);
    });
  });

  // Guards against a status for a caller that leaves, and calls that go on for it.
  suite.it('is closed without a status when its caller leaves', async t => {
    await withSlowCall(async ({ socket, res, received, closed }) => {
      const left = once(res, 'close');
      socket.end('GET /x HTTP/1.1\r\nHo');
      await left;
      await closed;
      t.is(received(), '');
    });
  });
});

describe('an error of a connection without an unanswered call', ({ it }) => {
  // Guards against callers that wait for an answer to what is no request.
  it('is answered with its status', async t => {
    await withSlowCall(async ({ socket, res, received, closed }, logged) => {
      res.end('whole');
      await once(socket, 'data');
      socket.write('\u0001\r\n\r\n');
      await closed;
      t.regex(received(), /wholeHTTP\/1\.1 400 Bad Request\r\n/);
      t.like(logged[0], { event: 'connectionError', status: 400 });
    });
  });
});
