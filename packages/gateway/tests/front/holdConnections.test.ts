import { once } from 'node:events';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { createServer as createDoor } from 'node:net';
import { request } from 'undici';
import { describe } from '@jujubecroft/testing';

import { holdConnections } from '../../src/front/holdConnections.js';

const HOST = '127.0.0.1';

async function freePort(): Promise<number> {
  const door = createDoor().listen(0, HOST);
  await once(door, 'listening');
  const { port } = door.address() as AddressInfo;
  door.close();
  await once(door, 'close');
  return port;
}

describe('holdConnections', ({ it }) => {
  // All instances of a deployment are killed and start again. Callers try an
  // address, find nobody, try once more and give up, though the program needed
  // half a second only.
  it('serves requests that came before the server, and those that come after', async t => {
    const port = await freePort();
    const failures: Error[] = [];
    const held = holdConnections(HOST, port, err => {
      failures.push(err);
    });
    const early = request(`http://${HOST}:${port}/early`);
    // The request is on its way when the server is still being made.
    await new Promise(resolve => setTimeout(resolve, 50));
    const server = createServer((req, res) => {
      res.end(`answer to ${req.url ?? ''}`);
    });
    await held.handTo(server);
    t.is(await (await early).body.text(), 'answer to /early');
    const later = await request(`http://${HOST}:${port}/later`);
    t.is(await later.body.text(), 'answer to /later');
    t.deepEqual(failures, []);
    server.closeAllConnections();
    server.close();
    await once(server, 'close');
    await t.throwsAsync(request(`http://${HOST}:${port}/closed`));
  });

  it('tells of an address that is taken', async t => {
    const door = createDoor().listen(0, HOST);
    await once(door, 'listening');
    const { port } = door.address() as AddressInfo;
    const failure = new Promise<Error>(resolve => {
      holdConnections(HOST, port, resolve);
    });
    t.regex((await failure).message, /EADDRINUSE/);
    door.close();
  });
});
