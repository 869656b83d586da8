import { createServer } from 'node:http';
import { listenOn } from '@jujubecroft/stand-ins/util';
import { describe } from '@jujubecroft/testing';

import { JsonClient } from '../../src/backends/JsonClient.js';

const HOST = '127.0.0.1';

/** Runs a test against a server that always sends the same status and text. */
async function withResponse(
  status: number,
  text: string,
  body: (client: JsonClient) => Promise<void>,
): Promise<void> {
  const server = createServer((_req, res) => {
    res.writeHead(status);
    res.end(text);
  });
  const port = await listenOn(server, HOST);
  const client = new JsonClient(() => `${HOST}:${port}`, {
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
  // Guards against a refusal that counts as a missing response because its body
  // is an HTML page.
  it('returns the status of a response whose body is not JSON', async t => {
    await withResponse(409, '<html>conflict</html>', async client => {
      const reply = await client.call({ path: '/x', content: {} });
      t.is(reply.status, 409);
      t.throws(() => reply.json());
    });
  });

  it('parses a JSON body and returns null for an empty one', async t => {
    await withResponse(200, '{"a":1}', async client => {
      t.deepEqual((await client.call({ path: '/x' })).json(), { a: 1 });
    });
    await withResponse(200, '', async client => {
      t.is((await client.call({ path: '/x' })).json(), null);
    });
  });
});
