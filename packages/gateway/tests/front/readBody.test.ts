import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { connect } from 'node:net';
import { describe } from '@jujubecroft/testing';

import type { BodyReadResult } from '../../src/front/readBody.js';
import { readBody } from '../../src/front/readBody.js';

const MAX_BYTES = 100;
const HEAD = 'POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n';
const LARGE_CHUNK = `400\r\n${'x'.repeat(1024)}\r\n`;
const LAST_CHUNK = '0\r\n\r\n';

/** Sends a request and reads until the server closes the connection. */
async function exchange(
  text: string,
): Promise<{ readonly response: string; readonly read: BodyReadResult[] }> {
  const read: BodyReadResult[] = [];
  const server = createServer((req, res) => {
    void readBody(req, MAX_BYTES).then(result => {
      read.push(result);
      res.shouldKeepAlive = false;
      res.writeHead(result.kind === 'whole' ? 200 : 413);
      res.end();
    });
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const response = await new Promise<string>((resolve, reject) => {
    let received = '';
    const socket = connect(port, '127.0.0.1', () => {
      socket.write(text);
    });
    socket.on('data', chunk => {
      received += chunk.toString('latin1');
    });
    socket.once('error', reject);
    socket.once('close', () => {
      resolve(received);
    });
  });
  server.close();
  return { response, read };
}

describe('readBody', ({ it }) => {
  it('joins the chunks of a body without a stated length', async t => {
    const chunks = '3\r\none\r\n3\r\ntwo\r\n';
    const { read } = await exchange(HEAD + chunks + LAST_CHUNK);
    t.deepEqual(read, [{ kind: 'whole', body: Buffer.from('onetwo') }]);
  });

  // Guards against closing the connection before the error response is written.
  [LARGE_CHUNK, LARGE_CHUNK + LARGE_CHUNK + LAST_CHUNK].forEach(
    (chunks, index) => {
      const part = index === 0 ? 'unfinished' : 'complete';
      it(`leaves the connection open for a response to a body that is ${part} and turns out too large`, async t => {
        const { response, read } = await exchange(HEAD + chunks);
        t.deepEqual(read, [{ kind: 'tooLarge' }]);
        t.true(response.startsWith('HTTP/1.1 413 '));
      });
    },
  );
});
