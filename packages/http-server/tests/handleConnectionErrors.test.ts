import { once } from 'node:events';
import type { RequestListener } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { describe } from '@jujubecroft/testing';

import type { ConnectionError } from '../src/index.js';
import { connectionErrorBody, handleConnectionErrors } from '../src/index.js';

const REQUEST = 'GET /x HTTP/1.1\r\nHost: a.example\r\n\r\n';
const CONNECT = 'CONNECT a.example:1 HTTP/1.1\r\nHost: a.example\r\n\r\n';
const LARGE_BODY = 'b'.repeat(4_000_000);
/** Longer than the time for which a connection is kept after its last byte. */
const AFTER_LINGER_MS = 1300;

/** What a test has to do with a server and one caller. */
interface ServedCaller {
  /** Connection that stays half open when the server ends it. */
  readonly caller: Socket;
  readonly received: () => string;
  readonly errors: readonly ConnectionError[];
  readonly openConnections: () => Promise<number>;
}

/** Runs a test body with a server that handles the errors of its connections. */
async function withCaller(
  listener: RequestListener,
  body: (served: ServedCaller) => Promise<void>,
): Promise<void> {
  const server = createServer(listener);
  const errors: ConnectionError[] = [];
  handleConnectionErrors(server, {
    hasBegun: ({ complete }) => complete,
    bodyOf: connectionErrorBody,
    onError: error => {
      errors.push(error);
    },
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const caller = connect({ port, host: '127.0.0.1', allowHalfOpen: true });
  let text = '';
  caller.on('data', chunk => {
    text += chunk.toString('latin1');
  });
  caller.on('error', () => undefined);
  const openConnections = (): Promise<number> =>
    new Promise((resolve, reject) => {
      server.getConnections((err, count) => {
        if (err) {
          reject(err);
        } else {
          resolve(count);
        }
      });
    });
  try {
    await body({ caller, received: () => text, errors, openConnections });
  } finally {
    caller.destroy();
    server.closeAllConnections();
    server.close();
  }
}

const answerSoon: RequestListener = (_req, res) => {
  setTimeout(() => {
    res.end('whole');
  }, 100);
};

describe('a connection after an error', suite => {
  // Guards against connections that callers who never end them keep open.
  (
    [
      ['without a request', '\u0001', 1],
      ['after its last answer', `${REQUEST}\u0001`, 0],
      ['without a request, for CONNECT', CONNECT, 0],
      ['after its last answer, for CONNECT', REQUEST + CONNECT, 0],
    ] as const
  ).forEach(([when, bytes, statuses]) => {
    suite.it(`is closed ${when}`, async t => {
      await withCaller(answerSoon, async served => {
        served.caller.write(bytes);
        await once(served.caller, 'end');
        t.is(served.received().split(' 400 Bad Request').length - 1, statuses);
        t.is(await served.openConnections(), 1);
        await sleep(AFTER_LINGER_MS);
        t.is(await served.openConnections(), 0);
        t.is(served.errors.length, 1);
      });
    });
  });

  // Guards against an answer that stops when its caller reads slowly, since the server
  // removes its listeners from the connection.
  ['\u0001', CONNECT].forEach((bytes, index) => {
    suite.it(`carries an answer to a slow reader (${index})`, async t => {
      const answerInParts: RequestListener = (_req, res) => {
        const write = (left: number): void => {
          if (left === 0) {
            res.end('last');
          } else if (res.write(LARGE_BODY)) {
            write(left - 1);
          } else {
            res.once('drain', () => {
              write(left - 1);
            });
          }
        };
        write(3);
      };
      await withCaller(answerInParts, async ({ caller, received }) => {
        caller.write(REQUEST + bytes);
        caller.pause();
        await sleep(300);
        caller.resume();
        await once(caller, 'end');
        t.true(received().endsWith('4\r\nlast\r\n0\r\n\r\n'));
        t.true(received().length > 3 * LARGE_BODY.length);
        t.is(received().split('HTTP/1.1').length, 2);
      });
    });
  });
});

describe('an answer after an error', ({ it }) => {
  // Guards against a reset that discards the end of an answer, where the caller reads late
  // and goes on sending. Sizes around that of the send buffer of the operating system.
  [3, 4.5, 5, 5.5, 6].forEach(megabytes => {
    it(`of ${megabytes} MB reaches a caller that goes on sending`, async t => {
      const body = 'b'.repeat(megabytes * 1_000_000);
      const answerLate: RequestListener = (_req, res) => {
        setTimeout(() => {
          res.end(body);
        }, 50);
      };
      await withCaller(answerLate, async ({ caller, received }) => {
        caller.write(`${REQUEST}\u0001`);
        caller.pause();
        const sending = setInterval(() => {
          caller.write('a');
        }, 10);
        await sleep(400);
        caller.resume();
        await Promise.race([once(caller, 'end'), once(caller, 'close')]);
        clearInterval(sending);
        t.true(received().endsWith(body), `${received().length} bytes arrived`);
      });
    });
  });
});

describe('an incomplete request', ({ it }) => {
  // Guards against a connection that waits for the answer to a request whose body
  // can't be read.
  it('is answered with the status of the error, alone or after others', async t => {
    const listener: RequestListener = (req, res) => {
      req.on('error', () => undefined);
      req.resume().once('end', () => res.end('whole'));
    };
    const broken =
      'POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nno size\r\n';
    await withCaller(listener, async ({ caller, received }) => {
      caller.write(broken);
      await once(caller, 'end');
      t.regex(received(), /^HTTP\/1.1 400 Bad Request\r\nConnection: close/);
    });
    await withCaller(listener, async ({ caller, received }) => {
      caller.write(REQUEST + broken);
      await once(caller, 'end');
      t.regex(received(), /^HTTP\/1.1 200 [^]+whole$/);
    });
  });
});
