import { createServer } from 'node:net';
import { describe } from '@jujubecroft/testing';
import { listenOn } from '@jujubecroft/stand-ins/util';

import type { CallerContext } from '../../src/callers/SoakCaller.js';
import {
  drawEarly,
  drawStalled,
  sendPieces,
} from '../../src/callers/sendPieces.js';
import type { ObservedResponse } from '../../src/evidence.js';

const HOST = '127.0.0.1';
/** Time for which requests are sent; shorter than the time between two of them. */
const SENDING_MS = 100;
const BYTES = 'POST /unsafe/x HTTP/1.1\r\n\r\nbody';

/** @returns the responses that callers of a server observe that sends the given bytes */
async function responsesOf(
  bytes: string,
): Promise<readonly ObservedResponse[]> {
  const server = createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.end(bytes);
    });
  });
  const address = `${HOST}:${await listenOn(server, HOST)}`;
  const responses: ObservedResponse[] = [];
  const context = {
    environment: {
      callerHeaders: () => ({}),
      readStamp: (headers: Record<string, string>) => headers.stamp ?? null,
    },
    random: () => 0.5,
    chooseGateway: () => ({ address, gateway: 0, incarnation: 1 }),
    keyOf: () => 'key',
    nextId: () => `id-${responses.length}`,
    onSent: () => undefined,
    onResponse: (response: ObservedResponse) => responses.push(response),
  } as unknown as CallerContext;
  await sendPieces(context, SENDING_MS, drawEarly);
  server.close();
  return responses;
}

describe('sendPieces', ({ it }) => {
  // Guards against a refusal by the HTTP framework, without any header, that is not seen.
  it('observes the status of a response, whoever sends it', async t => {
    const [refused] = await responsesOf('HTTP/1.1 408 Request Timeout\r\n\r\n');
    t.like(refused, { status: 408, stamp: null, whole: false });
  });

  it('observes the stamp, and no interim response', async t => {
    const [served] = await responsesOf(
      'HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\nStamp: s\r\n\r\nbody',
    );
    t.like(served, { status: 200, stamp: 's' });
  });

  it('observes a connection that is closed without a response', async t => {
    const [cut] = await responsesOf('');
    t.like(cut, { status: null, leftMs: null });
  });
});

describe('drawn pieces', ({ it }) => {
  it('are a whole request and more bytes if the caller sends early', t => {
    const { piecesOf } = drawEarly(() => 0);
    const sent = piecesOf(BYTES).map(({ text }) => text);
    t.true(sent.join('').startsWith(`${BYTES}POST `));
  });

  it('are a part of a request, and its rest in some cases, if the caller stalls', t => {
    const sentWith = (random: number): string =>
      drawStalled(() => random)
        .piecesOf(BYTES)
        .map(({ text }) => text)
        .join('');
    t.true(sentWith(0.5).startsWith(`${BYTES}POST `));
    t.true(BYTES.startsWith(sentWith(0.9)));
  });
});
