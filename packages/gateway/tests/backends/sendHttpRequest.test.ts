import type { RequestListener } from 'node:http';
import { createServer } from 'node:http';
import { listenOn, writeWithoutEnd } from '@jujubecroft/stand-ins/util';
import { describe } from '@jujubecroft/testing';

import type { HttpReply } from '../../src/backends/sendHttpRequest.js';
import { sendHttpRequest } from '../../src/backends/sendHttpRequest.js';

const HOST = '127.0.0.1';
const TIMEOUT_MS = 100;
const LONG_TIMEOUT_MS = 10_000;
/** Time for a part of a reply to be read. */
const SETTLED_MS = 40;

function blockEventLoop(): void {
  const untilMs = performance.now() + 2 * TIMEOUT_MS;
  while (performance.now() < untilMs) {
    // Blocks the event loop.
  }
}

async function send(
  listener: RequestListener,
  timeoutMs = TIMEOUT_MS,
): Promise<HttpReply> {
  const server = createServer(listener);
  const port = await listenOn(server, HOST);
  try {
    return await sendHttpRequest({
      address: `${HOST}:${port}`,
      method: 'GET',
      path: '/',
      timeoutMs,
    });
  } finally {
    server.closeAllConnections();
    server.close();
  }
}

describe('sendHttpRequest', ({ itAlone }) => {
  itAlone('rejects when no complete response arrives in time', async t => {
    await t.throwsAsync(send(() => undefined));
    await t.throwsAsync(
      send((_req, res) => {
        res.writeHead(200, { 'content-length': 10 });
        res.write('half');
      }),
    );
  });

  // Guards against false timeouts: the response has arrived, but the event loop
  // is blocked and timers fire before it is read. Several such calls in a row
  // looked like an outage of the store.
  itAlone(
    'returns a response that arrived while the event loop was blocked',
    async t => {
      const { status, body } = await send((_req, res) => {
        res.end('whole');
        // The response has been sent before the event loop is blocked.
        setImmediate(blockEventLoop);
      });
      t.is(status, 200);
      t.is(body.toString(), 'whole');
    },
  );

  // Guards against memory without bound for a server that never stops sending.
  const endless: readonly (readonly [string, string, string])[] = [
    ['a body', 'HTTP/1.1 200 OK\r\n\r\n', 'body'],
    ['blank lines', '', '\r\n'],
    ['interim responses', '', 'HTTP/1.1 100 Continue\r\n\r\n'],
  ];
  endless.forEach(([title, begin, repeated]) => {
    itAlone(`rejects ${title} without end before the timeout`, async t => {
      const startedMs = performance.now();
      const sent = send(({ socket }) => {
        socket.write(begin);
        writeWithoutEnd(socket, repeated);
      }, LONG_TIMEOUT_MS);
      await t.throwsAsync(sent);
      t.true(performance.now() - startedMs < LONG_TIMEOUT_MS / 2);
    });
  });

  // Guards against a call that never ends, since the connection closes without an error.
  itAlone('rejects a change of the protocol', async t => {
    const sent = send(({ socket }) => {
      socket.write(
        'HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: other\r\n\r\n',
      );
    }, LONG_TIMEOUT_MS);
    await t.throwsAsync(sent, { message: /connection closed/ });
  });

  // Guards against half a reply that is taken for a whole one, since it has no length and its
  // connection was reset.
  [0, SETTLED_MS].forEach(delayMs => {
    itAlone(`rejects a body that is reset after ${delayMs} ms`, async t => {
      const sent = send(({ socket }) => {
        socket.write('HTTP/1.1 200 OK\r\n\r\n{}', () => {
          setTimeout(() => socket.resetAndDestroy(), delayMs);
        });
      }, LONG_TIMEOUT_MS);
      await t.throwsAsync(sent);
    });
  });
});
