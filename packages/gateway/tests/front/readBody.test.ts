import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { connect } from 'node:net';
import { describe } from '@jujubecroft/testing';

import type { BodyReadResult } from '../../src/front/readBody.js';
import { readBody } from '../../src/front/readBody.js';
import { BufferBudget } from '../../src/responses/BufferBudget.js';

const MAX_BYTES = 100;
const HEAD = 'POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n';
const LARGE_CHUNK = `400\r\n${'x'.repeat(1024)}\r\n`;
const LAST_CHUNK = '0\r\n\r\n';

/** Sends a request and reads until the server closes the connection. */
async function exchange(
  text: string,
  budget = new BufferBudget(),
): Promise<{ readonly response: string; readonly read: BodyReadResult[] }> {
  const read: BodyReadResult[] = [];
  const server = createServer((req, res) => {
    void readBody(req, MAX_BYTES, budget).then(result => {
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

/** Bytes of the body that was read; null if there is none. */
function bytesOf([result]: readonly BodyReadResult[]): Buffer | null {
  return result?.kind === 'whole' ? (result.body?.bytes ?? null) : null;
}

describe('readBody', ({ it }) => {
  it('joins the chunks of a body without a stated length', async t => {
    const chunks = '3\r\none\r\n3\r\ntwo\r\n';
    const { read } = await exchange(HEAD + chunks + LAST_CHUNK);
    t.deepEqual(bytesOf(read), Buffer.from('onetwo'));
  });

  // Guards against bodies of all callers together that exceed the memory of an instance.
  it('reads no body that the others leave no memory for', async t => {
    const budget = new BufferBudget(MAX_BYTES);
    t.true(budget.take(MAX_BYTES - 10));
    const stated = 'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 11\r\n\r\n';
    const text = `${stated}${'x'.repeat(11)}`;
    t.deepEqual((await exchange(text, budget)).read, [{ kind: 'noMemory' }]);
    const chunked = `${HEAD}b\r\n${'x'.repeat(11)}\r\n${LAST_CHUNK}`;
    t.deepEqual((await exchange(chunked, budget)).read, [{ kind: 'noMemory' }]);
    t.is(budget.usedBytes, MAX_BYTES - 10);
  });

  // Guards against small chunks that take many times the memory of their bytes.
  it('counts the memory of a body, and returns it', async t => {
    const budget = new BufferBudget();
    const chunks = '1\r\nx\r\n'.repeat(MAX_BYTES);
    const { read } = await exchange(HEAD + chunks + LAST_CHUNK, budget);
    t.is(bytesOf(read)?.length, MAX_BYTES);
    t.is(budget.usedBytes, MAX_BYTES);
    const [result] = read;
    if (result?.kind === 'whole') {
      result.body?.release();
    }
    t.is(budget.usedBytes, 0);
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
