import { once } from 'node:events';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer, get } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { text } from 'node:stream/consumers';
import { setTimeout as sleep } from 'node:timers/promises';
import { describe } from '@jujubecroft/testing';

import { KeepAliveAgent } from '../../src/backends/KeepAliveAgent.js';

const HOST = '127.0.0.1';
const LIMITS = { maxConnections: 4, connectTimeoutMs: 400 };
const SETTLED_MS = 40;

interface Fixture {
  readonly server: Server;
  readonly agent: KeepAliveAgent;
  /** Connections that the server accepted, oldest first. */
  readonly sockets: readonly Socket[];
  readonly ask: () => Promise<string>;
}

async function withServer(
  answer: (req: IncomingMessage, res: ServerResponse) => void,
  body: (fixture: Fixture) => Promise<void>,
): Promise<void> {
  const sockets: Socket[] = [];
  const server = createServer({ keepAliveTimeout: 0 }, answer);
  server.on('connection', socket => sockets.push(socket));
  server.listen(0, HOST);
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const agent = new KeepAliveAgent(LIMITS);
  const ask = async (): Promise<string> => {
    const [res] = (await once(
      get({ host: HOST, port, agent }),
      'response',
    )) as [IncomingMessage];
    const body = await text(res);
    // The agent gets the connection back shortly after the response.
    await sleep(SETTLED_MS);
    return body;
  };
  try {
    await body({ server, agent, sockets, ask });
  } finally {
    agent.destroy();
    server.close();
    server.closeAllConnections();
  }
}

const plain = (_req: IncomingMessage, res: ServerResponse): void => {
  res.end('whole');
};

describe('KeepAliveAgent', ({ it, itAlone }) => {
  // Guards against false timeouts ("no connection within 400 ms"): the
  // connection opens within a millisecond, but the event loop is blocked for
  // half a second and the timer fires before the event is processed.
  itAlone(
    'uses a connection that opened while the event loop was blocked',
    async t => {
      await withServer(plain, async ({ ask }) => {
        const pending = ask();
        const untilMs = performance.now() + LIMITS.connectTimeoutMs + 100;
        while (performance.now() < untilMs) {
          // Blocks the event loop.
        }
        t.is(await pending, 'whole');
      });
    },
  );

  it('reuses a connection without accumulating listeners on it', async t => {
    await withServer(plain, async ({ agent, sockets, ask }) => {
      for (let index = 0; index < 15; index += 1) {
        t.is(await ask(), 'whole');
      }
      t.is(sockets.length, 1);
      const [keptSocket] = Object.values(agent.freeSockets).flat();
      t.true((keptSocket?.listenerCount('error') ?? 0) < 5);
    });
  });

  // Guards against responses to the wrong request: a replica may send a second
  // response after the first was read, and the next request on the connection
  // would receive it.
  it('closes an idle connection that receives unexpected data', async t => {
    await withServer(plain, async ({ sockets, ask }) => {
      await ask();
      sockets[0]?.write('HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx');
      await sleep(SETTLED_MS);
      t.is(await ask(), 'whole');
      t.is(sockets.length, 2);
    });
  });

  // Guards against requests of unknown outcome: a request that is written just
  // when the replica closes its idle connection may have been executed, and
  // cannot be repeated unless it is idempotent.
  it('closes an idle connection before the timeout that its server states', async t => {
    await withServer(
      (_req, res) => {
        res.setHeader('Keep-Alive', 'timeout=1');
        res.end('whole');
      },
      async ({ sockets, ask }) => {
        await ask();
        await ask();
        t.is(sockets.length, 2);
      },
    );
  });

  it('keeps no idle connection after close', async t => {
    await withServer(plain, async ({ agent, sockets, ask }) => {
      await ask();
      agent.close();
      await ask();
      await ask();
      t.is(sockets.length, 3);
    });
  });
});
