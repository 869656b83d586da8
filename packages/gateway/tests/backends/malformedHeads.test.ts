import { createServer } from 'node:net';
import { listenOn } from '@jujubecroft/stand-ins/util';
import { describe } from '@jujubecroft/testing';
import type { RequestId } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import { KeepAliveAgent } from '../../src/backends/KeepAliveAgent.js';
import type { ExchangeEnd } from '../../src/backends/sendAttempt.js';
import { sendAttempt } from '../../src/backends/sendAttempt.js';
import { faultOf } from '../../src/responses/InvalidResponseError.js';

const HOST = '127.0.0.1';
const SPACE = 0x20;
/** Blanks and control bytes, also those of ISO 8859-1. */
const BYTES = [
  ...Array.from({ length: SPACE + 1 }, (_, byte) => byte),
  0x7f,
  0x85,
  0xa0,
];
const BODY = 'body';
const HEADERS: readonly (readonly [string, string])[] = [
  ['Content-Length', String(BODY.length)],
  ['Transfer-Encoding', 'chunked'],
  ['Connection', 'close'],
  ['X-Other', 'value'],
];

/** Returns a name with a byte before, after or in place of a character of it. */
function spoiledNames(name: string, byte: number): readonly string[] {
  const text = String.fromCharCode(byte);
  const middle = name.indexOf('-') + 1 || 2;
  return [
    text + name,
    name + text,
    name.slice(0, middle) + text + name.slice(middle),
    name.slice(0, middle - 1) + text + name.slice(middle),
  ];
}

/** All responses with one such name, between other headers. */
const RESPONSES = HEADERS.flatMap(([name, value]) =>
  BYTES.flatMap(byte => spoiledNames(name, byte)).map(
    spoiled =>
      `HTTP/1.1 200 OK\r\nX-First: value\r\n${spoiled}: ${value}\r\nX-Last: value\r\n\r\n${BODY}`,
  ),
);

/** Returns what the sender of one request learns from each of the responses. */
async function exchangesWith(
  responses: readonly string[],
): Promise<readonly { readonly end: ExchangeEnd; readonly heads: number }[]> {
  let response = '';
  const server = createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.end(response, 'latin1');
    });
  });
  const port = await listenOn(server, HOST);
  const agent = new KeepAliveAgent({
    maxConnections: 1,
    connectTimeoutMs: 400,
  });
  const exchanges = [];
  for (response of responses) {
    let heads = 0;
    const { ended } = sendAttempt(
      { host: HOST, port, agent, relayOf: () => null },
      {
        id: brand<RequestId>('r-1'),
        method: 'GET',
        target: '/',
        headers: ['Host', HOST],
        body: null,
      },
      {
        maySend: () => true,
        onStart: () => {
          heads += 1;
          return false;
        },
        onData: () => true,
      },
    );
    exchanges.push({ end: await ended, heads });
  }
  agent.destroy();
  server.close();
  return exchanges;
}

describe('a head with a blank or a control byte in the name of a header', ({
  it,
}) => {
  // Guards against a line that is passed on although no HTTP client may accept it, and against
  // a body whose length or coding was stated in that line.
  it('is no response, wherever the byte is', async t => {
    const exchanges = await exchangesWith(RESPONSES);
    const accepted = RESPONSES.filter((_, index) => {
      const { end, heads } = exchanges[index] ?? {};
      return (
        heads !== 0 ||
        end?.kind !== 'invalid' ||
        faultOf(end.error) !== 'malformed'
      );
    });
    t.deepEqual(accepted, []);
  });
});
