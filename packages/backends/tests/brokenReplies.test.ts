import type { Socket } from 'node:net';
import { createServer } from 'node:net';
import type { AttemptFailure } from '@jujubecroft/decisions';
import { listenOn } from '@jujubecroft/stand-ins/util';
import { describe } from '@jujubecroft/testing';
import type {
  BackendServer,
  BackendServerId,
  FailureDomainId,
} from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import type { ServiceReply } from '../src/index.js';
import { ConnectionPools, startServiceAttempt } from '../src/index.js';

const HOST = '127.0.0.1';
/** More than the buffers of a connection on loopback hold. */
const UPLOAD_BYTES = 8 * 1024 * 1024;
/** Time for a part of a reply to be read. */
const PART_MS = 40;
const UNFRAMED_HEAD = 'HTTP/1.1 200 OK\r\n\r\n';
const BROKEN: AttemptFailure = { ran: 'maybe', reason: 'broken' };

/** Answers a request on its connection, of which only the beginning was read. */
type Answer = (socket: Socket) => void;

/** How an attempt at a plain service ended. */
type Outcome = AttemptFailure | ServiceReply | null;

/** Sends one call to a service that answers as soon as a request begins. */
async function outcomeOf(
  answer: Answer,
  body: Buffer | null = null,
): Promise<Outcome> {
  const server = createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.pause();
      answer(socket);
    });
  });
  const port = await listenOn(server, HOST);
  const service: BackendServer = {
    kind: 'backendServer',
    id: brand<BackendServerId>('b-1'),
    url: `http://${HOST}:${port}`,
    failureDomain: brand<FailureDomainId>('d-1'),
    models: [],
    services: [],
    capacity: 1,
    checksFencing: false,
    leaving: false,
  };
  const pools = new ConnectionPools();
  try {
    return await new Promise(resolve => {
      let reply: ServiceReply | null = null;
      const call = { method: 'POST', path: '/', headers: {}, body };
      startServiceAttempt(pools.poolFor(service), call, {
        onProgress: received => {
          reply = received;
        },
        onFinished: () => {
          resolve(reply);
        },
        onFailed: resolve,
      });
    });
  } finally {
    await pools.destroy();
    server.close();
  }
}

const sends =
  (text: string): Answer =>
  socket => {
    socket.end(text, 'latin1');
  };

const resetsAfter =
  (delayMs: number): Answer =>
  socket => {
    socket.write(`${UNFRAMED_HEAD}half`, () => {
      setTimeout(() => socket.resetAndDestroy(), delayMs);
    });
  };

/** The first byte of ASCII that is neither a control byte nor the blank. */
const FIRST_PRINTABLE_BYTE = 0x21;
const DEL = 0x7f;
/** The blank and all control bytes. */
const BLANK_AND_CONTROL_BYTES = [
  ...Array(FIRST_PRINTABLE_BYTE).keys(),
  DEL,
].map(byte => String.fromCharCode(byte));

describe('a reply of a plain service', ({ describe: group }) => {
  group('with a length', ({ it }) => {
    // Guards against a whole reply that is lost since its connection was reset afterwards.
    it('is complete if it is reset after its last byte', async t => {
      const reply = await outcomeOf(socket => {
        socket.write('HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole');
        socket.resetAndDestroy();
      });
      t.like(reply, { status: 200, body: Buffer.from('whole') });
    });
  });

  group('without a length', ({ it }) => {
    // Guards against a part of a reply that is taken for the whole one, since undici takes a
    // reset for the end of a body without a length.
    [null, Buffer.alloc(UPLOAD_BYTES)].forEach(body => {
      const request = body ? 'an upload that is not read' : 'a request';
      [0, PART_MS].forEach(delayMs => {
        it(`is broken if it is reset after ${delayMs} ms: ${request}`, async t => {
          t.deepEqual(await outcomeOf(resetsAfter(delayMs), body), BROKEN);
        });
      });
    });

    it('is complete if its connection ends regularly', async t => {
      const reply = await outcomeOf(sends(`${UNFRAMED_HEAD}whole`));
      t.like(reply, { status: 200, framing: 'closeDelimited' });
    });
  });

  group('with a status that is not one of a final response', ({ it }) => {
    // Guards against a status that no client can interpret, and that is passed on.
    ['000', '020', '101', '199', '600', '999'].forEach(status => {
      it(`is broken: ${status}`, async t => {
        const head = `HTTP/1.1 ${status} Status\r\nContent-Length: 5\r\n\r\n`;
        t.deepEqual(await outcomeOf(sends(`${head}whole`)), BROKEN);
      });
    });
  });

  group('with an unknown transfer coding', ({ it }) => {
    // Guards against the framing of chunks that is passed on as a part of the body.
    [
      ['another name', 'chunkes'],
      ['a blank of ISO 8859-1 after the name', 'chunked\xa0'],
      ['a blank of ISO 8859-1 before the name', '\xa0chunked'],
      ['a tab after the name', 'chunked\t'],
      ['two headers', 'chunked\r\nTransfer-Encoding: identity'],
    ].forEach(([title = '', coding = '']) => {
      it(`is broken: ${title}`, async t => {
        const head = `HTTP/1.1 200 OK\r\nTransfer-Encoding: ${coding}\r\n\r\n`;
        const body = '5\r\nwhole\r\n0\r\n\r\n';
        t.deepEqual(await outcomeOf(sends(head + body)), BROKEN);
      });
    });

    it('is complete if the coding is known', async t => {
      const head = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked \r\n\r\n';
      const reply = await outcomeOf(sends(`${head}2\r\nok\r\n0\r\n\r\n`));
      t.like(reply, { status: 200, body: Buffer.from('ok') });
    });
  });

  group('with a blank or a control byte in the name of a header', ({ it }) => {
    // Guards against a line that is passed on although it is no header, and against a body that
    // begins elsewhere.
    it('is broken for the parser that undici ships, whatever the byte', async t => {
      for (const byte of [...BLANK_AND_CONTROL_BYTES, '\xa0']) {
        for (const name of [
          `X${byte}Other`,
          `${byte}X-Other`,
          `X-Other${byte}`,
          byte,
        ]) {
          const length = 'Content-Length: 5\r\n';
          const line = `${name}: b\r\n`;
          for (const lines of [line + length, length + line]) {
            const head = `HTTP/1.1 200 OK\r\nX-First: a\r\n${lines}\r\n`;
            t.deepEqual(await outcomeOf(sends(`${head}whole`)), BROKEN);
          }
        }
      }
    });
  });
});
