import { once } from 'node:events';
import { createServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { connect, createServer as createTcpServer } from 'node:net';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { request } from 'undici';
import { describe } from '@jujubecroft/testing';

import { acceptEarlyConnections } from '../../src/front/acceptEarlyConnections.js';

const HOST = '127.0.0.1';

async function freePort(): Promise<number> {
  const listener = createTcpServer().listen(0, HOST);
  await once(listener, 'listening');
  const { port } = listener.address() as AddressInfo;
  listener.close();
  await once(listener, 'close');
  return port;
}

describe('acceptEarlyConnections', ({ it }) => {
  // Guards against refused callers when all instances are killed and restart:
  // callers find every address closed, retry once and give up, although loading
  // the program takes only half a second.
  it('serves requests sent before and after the server is ready', async t => {
    const port = await freePort();
    const failures: Error[] = [];
    const accepted = acceptEarlyConnections(HOST, port, err => {
      failures.push(err);
    });
    const earlyRequest = request(`http://${HOST}:${port}/early`);
    // The request is sent while the server does not exist yet.
    await new Promise(resolve => setTimeout(resolve, 50));
    const server = createServer((req, res) => {
      res.end(`answer to ${req.url ?? ''}`);
    });
    await accepted.handOver(server);
    t.is(await (await earlyRequest).body.text(), 'answer to /early');
    const later = await request(`http://${HOST}:${port}/later`);
    t.is(await later.body.text(), 'answer to /later');
    t.deepEqual(failures, []);
    server.closeAllConnections();
    server.close();
    await once(server, 'close');
    await t.throwsAsync(request(`http://${HOST}:${port}/closed`));
  });

  // Guards against an instance that starts without descriptors left for anything else.
  it('accepts a limited number of connections', async t => {
    const port = await freePort();
    const accepted = acceptEarlyConnections(HOST, port, () => undefined);
    const sockets: Socket[] = [];
    // One at a time: if the queue of the system were full, some would never be accepted.
    while (sockets.length < 1200) {
      const socket = connect(port, HOST);
      socket.on('error', () => undefined);
      await once(socket, 'connect');
      await nextTurn();
      sockets.push(socket);
    }
    const closedCount = (): number =>
      sockets.filter(({ closed }) => closed).length;
    while (closedCount() < 200) {
      await new Promise(resolve => setTimeout(resolve, 10));
    }
    const server = createServer((_req, res) => {
      res.end('served');
    });
    await accepted.handOver(server);
    t.is(closedCount(), 200);
    const later = await request(`http://${HOST}:${port}/later`);
    t.is(await later.body.text(), 'served');
    sockets.forEach(socket => {
      socket.destroy();
    });
    server.closeAllConnections();
    server.close();
    await once(server, 'close');
  });

  it('reports an address that is in use', async t => {
    const listener = createTcpServer().listen(0, HOST);
    await once(listener, 'listening');
    const { port } = listener.address() as AddressInfo;
    const failure = new Promise<Error>(resolve => {
      acceptEarlyConnections(HOST, port, resolve);
    });
    t.regex((await failure).message, /EADDRINUSE/);
    listener.close();
  });
});
