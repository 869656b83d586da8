import { createServer } from 'node:http';
import { listenOn } from '@jujubecroft/stand-ins/util';
import { describe } from '@jujubecroft/testing';

import { JsonClient } from '../../src/backends/JsonClient.js';

const HOST = '127.0.0.1';

/** Runs a body against a server that answers with one status and text. */
async function withAnswer(
  status: number,
  text: string,
  body: (client: JsonClient) => Promise<void>,
): Promise<void> {
  const server = createServer((_req, res) => {
    res.writeHead(status);
    res.end(text);
  });
  const port = await listenOn(server, HOST);
  const client = new JsonClient(`${HOST}:${port}`, {
    connections: 1,
    connectTimeoutMs: 500,
    timeoutMs: 1000,
  });
  try {
    await body(client);
  } finally {
    client.close();
    server.close();
  }
}

describe('JsonClient', ({ it }) => {
  // Guards against a refusal that counts as no answer since its body is a page.
  it('tells the status of an answer that is no JSON', async t => {
    await withAnswer(409, '<html>conflict</html>', async client => {
      const reply = await client.call({ path: '/x', content: {} });
      t.is(reply.status, 409);
      t.throws(() => reply.json());
    });
  });

  it('reads a body, or that there is none', async t => {
    await withAnswer(200, '{"a":1}', async client => {
      t.deepEqual((await client.call({ path: '/x' })).json(), { a: 1 });
    });
    await withAnswer(200, '', async client => {
      t.is((await client.call({ path: '/x' })).json(), null);
    });
  });
});
