import type { IncomingMessage, RequestListener, Server } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import * as fc from 'fast-check';
import { describe } from '@jujubecroft/testing';

import type { ClientLimitReason } from '../src/clients/ClientAccount.js';
import type { ClientLimits } from '../src/clients/ClientLimits.js';
import { CountedResponse, limitClients } from '../src/clients/limitClients.js';

const LIMITS: ClientLimits = {
  maxConnections: 10,
  maxRequestsAhead: 4,
  maxHeldBytes: 10_000_000,
  maxUnreadMs: 60_000,
  countsBodies: true,
};
const POLL_MS = 5;
/** Least memory that an unanswered request counts as. */
const MIN_REQUEST_BYTES = 8 * 1024;

const GET = 'GET /x HTTP/1.1\r\nHost: a\r\n\r\n';

interface Fixture {
  readonly server: Server;
  readonly closed: ClientLimitReason[];
  readonly heldBytes: () => number;
  readonly open: () => Socket;
}

/** Runs a test body with a server whose clients are limited. */
async function withServer(
  limits: Partial<ClientLimits>,
  listener: RequestListener,
  body: (fixture: Fixture) => Promise<void>,
  clock?: () => number,
): Promise<void> {
  const server = createServer({ ServerResponse: CountedResponse }, listener);
  const closed: ClientLimitReason[] = [];
  const sockets: Socket[] = [];
  const account = limitClients(
    server,
    { ...LIMITS, ...limits },
    (_, reason) => {
      closed.push(reason);
    },
    clock,
  );
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  try {
    await body({
      server,
      closed,
      heldBytes: () => account.heldBytes,
      open: () => {
        const socket = connect(port, '127.0.0.1');
        socket.on('error', () => undefined);
        sockets.push(socket);
        return socket;
      },
    });
  } finally {
    sockets.forEach(socket => {
      socket.destroy();
    });
    server.closeAllConnections();
    await new Promise(resolve => {
      server.close(resolve);
    });
  }
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await sleep(POLL_MS);
  }
}

/** Collects what a connection receives. */
function collect(socket: Socket): () => string {
  let text = '';
  socket.setEncoding('latin1').on('data', chunk => {
    text += String(chunk);
  });
  return () => text;
}

async function readText(req: IncomingMessage): Promise<string> {
  let text = '';
  for await (const chunk of req) {
    text += String(chunk);
  }
  return text;
}

/** A request with a body, and how its head and framing write it. */
interface SentRequest {
  readonly body: string;
  readonly isChunked: boolean;
}

function requestText({ body, isChunked }: SentRequest): string {
  const head = 'POST /x HTTP/1.1\r\nHost: a\r\n';
  if (!isChunked) {
    return `${head}Content-Length: ${body.length}\r\n\r\n${body}`;
  }
  const chunk = body === '' ? '' : `${body.length.toString(16)}\r\n${body}\r\n`;
  return `${head}Transfer-Encoding: chunked\r\n\r\n${chunk}0\r\n\r\n`;
}

describe('a server whose clients are limited', ({ describe: describeIn }) => {
  describeIn('if requests are sent ahead', ({ it }) => {
    // Guards against input of many paused connections that no limit takes into account.
    it('counts all that it has read and not parsed', async t => {
      const ahead = LIMITS.maxRequestsAhead;
      let count = 0;
      await withServer(
        {},
        () => {
          count += 1;
        },
        async ({ server, heldBytes, open }) => {
          const sockets: Socket[] = [];
          server.on('connection', socket => {
            sockets.push(socket);
          });
          open().write(GET.repeat(20_000));
          const buffered = (): number => sockets[0]?.readableLength ?? 0;
          await waitUntil(() => count === ahead && buffered() > 0);
          const unparsed = (sockets[0]?.bytesRead ?? 0) - ahead * GET.length;
          t.true(heldBytes() >= ahead * MIN_REQUEST_BYTES + unparsed);
        },
      );
    });

    // Guards against other callers who wait until each of many clients has had its turn.
    it('reads from few connections in a turn of the event loop', async t => {
      const clients = 8;
      const ahead = 16;
      let nowMs = 0;
      const clock = (): number => {
        nowMs += 1;
        return nowMs;
      };
      let turn = 0;
      const countByTurn = new Map<number, number>();
      let isOver = false;
      const onTurn = (): void => {
        turn += 1;
        if (!isOver) {
          setImmediate(onTurn);
        }
      };
      await withServer(
        { maxRequestsAhead: ahead },
        () => {
          countByTurn.set(turn, (countByTurn.get(turn) ?? 0) + 1);
        },
        async ({ server, open }) => {
          let accepted = 0;
          server.on('connection', () => {
            accepted += 1;
          });
          const sockets = Array.from({ length: clients }, open);
          await waitUntil(() => accepted === clients);
          onTurn();
          sockets.forEach(socket => {
            socket.write(GET.repeat(2 * ahead));
          });
          const total = (): number =>
            [...countByTurn.values()].reduce((sum, count) => sum + count, 0);
          await waitUntil(() => total() === clients * ahead);
          isOver = true;
          // The first request of each connection does not wait.
          t.true(Math.max(...countByTurn.values()) <= clients + ahead);
        },
        clock,
      );
    });

    // Guards against a read that holds thousands of requests, all of which become objects.
    it('reads no more than allowed before it answers', async t => {
      let count = 0;
      await withServer(
        {},
        () => {
          count += 1;
        },
        async ({ open }) => {
          open().write(GET.repeat(40_000));
          await waitUntil(() => count > 0);
          await sleep(200);
          t.is(count, LIMITS.maxRequestsAhead);
        },
      );
    });

    it('answers all of them in order', async t => {
      const total = 2000;
      let count = 0;
      await withServer(
        {},
        (_req, res) => {
          count += 1;
          res.end(`[${count}]`);
        },
        async ({ open, heldBytes }) => {
          const socket = open();
          const received = collect(socket);
          socket.write(GET.repeat(total));
          await waitUntil(() => received().includes(`[${total}]`));
          const numbers = [...received().matchAll(/\[(\d+)\]/g)].map(
            ([, number]) => Number(number),
          );
          t.deepEqual(
            numbers,
            Array.from({ length: total }, (_, index) => index + 1),
          );
          await waitUntil(() => heldBytes() === 0);
        },
      );
    });

    // Guards against requests that the server answers by itself, which no listener sees.
    it('reads one at a time if they have no host', async t => {
      await withServer(
        { maxRequestsAhead: 1 },
        () => undefined,
        async ({ open, heldBytes }) => {
          const socket = open();
          const received = collect(socket);
          socket.write('GET /x HTTP/1.1\r\n\r\n'.repeat(3000));
          await waitUntil(() => socket.closed);
          t.is(received().split('400 Bad Request').length - 1, 1);
          t.is(heldBytes(), 0);
        },
      );
    });

    // Guards against bytes that are lost, repeated or taken for another request.
    it('receives every body unchanged, however the input is divided', async t => {
      const text = fc
        .array(fc.constantFrom('\r\n', '\r\n\r\n', 'a', '0', GET, '\r'), {
          maxLength: 12,
        })
        .map(parts => parts.join(''));
      const request = fc.record({ body: text, isChunked: fc.boolean() });
      /** Null until the body is complete. */
      const bodies: (string | null)[] = [];
      await withServer(
        { maxRequestsAhead: 2 },
        (req, res) => {
          const index = bodies.push(null) - 1;
          void readText(req).then(body => {
            bodies[index] = body;
            res.end('x');
          });
        },
        async ({ open }) => {
          await fc.assert(
            fc.asyncProperty(
              fc.array(request, { minLength: 1, maxLength: 6 }),
              fc.array(fc.nat(600), { maxLength: 6 }),
              async (requests, cuts) => {
                bodies.length = 0;
                const input = requests.map(requestText).join('');
                const places = [0, ...cuts, input.length]
                  .map(place => Math.min(place, input.length))
                  .sort((a, b) => a - b);
                const socket = open();
                socket.setNoDelay(true);
                for (const [index, place] of places.entries()) {
                  socket.write(input.slice(place, places[index + 1]));
                  await sleep(1);
                }
                await waitUntil(
                  () =>
                    bodies.filter(body => body !== null).length ===
                      requests.length || socket.closed,
                );
                socket.destroy();
                return (
                  JSON.stringify(bodies) ===
                  JSON.stringify(requests.map(({ body }) => body))
                );
              },
            ),
            { numRuns: 60 },
          );
          t.pass();
        },
      );
    });
  });

  describeIn('if its clients hold too much', ({ it }) => {
    it('closes the connection with the largest unfinished body', async t => {
      await withServer(
        { maxHeldBytes: 300_000 },
        (req, res) => {
          void readText(req).then(
            () => {
              res.end('x');
            },
            () => undefined,
          );
        },
        async ({ closed, open }) => {
          const large = open();
          large.write(
            `POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 900000\r\n\r\n${'b'.repeat(400_000)}`,
          );
          await waitUntil(() => large.closed);
          t.deepEqual(closed, ['memory']);
          const other = open();
          const received = collect(other);
          other.write(GET);
          await waitUntil(() => received().includes('200 OK'));
        },
      );
    });

    it('closes connections whose heads do not end', async t => {
      await withServer(
        { maxHeldBytes: 200_000 },
        () => undefined,
        async ({ closed, heldBytes, open }) => {
          const heads = Array.from({ length: 4 }, open);
          heads.forEach(socket => {
            socket.write(`GET /x HTTP/1.1\r\n${'a:\r\n'.repeat(2000)}`);
          });
          await waitUntil(() => heads.some(socket => socket.closed));
          t.deepEqual([...new Set(closed)], ['memory']);
          t.true(heldBytes() <= 200_000);
        },
      );
    });

    it('closes idle connections if there are too many', async t => {
      await withServer(
        {},
        (_req, res) => {
          res.end('x');
        },
        async ({ closed, open }) => {
          const idle = Array.from({ length: 30 }, open);
          await waitUntil(() => closed.length === 20);
          const last = open();
          const received = collect(last);
          last.write(GET);
          await waitUntil(() => received().includes('200 OK'));
          t.is(idle.filter(socket => !socket.closed).length, 9);
        },
      );
    });
  });

  describeIn('if a client takes nothing of an answer', ({ it }) => {
    // Guards against answers that are kept for clients that never read them.
    it('closes its connection', async t => {
      await withServer(
        { maxUnreadMs: 200 },
        (_req, res) => {
          res.end(Buffer.alloc(20_000_000));
        },
        async ({ closed, open }) => {
          const socket = open();
          socket.pause();
          socket.write(GET);
          await waitUntil(() => closed.length > 0);
          t.deepEqual(closed, ['unread']);
        },
      );
    });

    it('waits for one that takes it slowly', async t => {
      const bytes = 8_000_000;
      await withServer(
        { maxUnreadMs: 400 },
        (_req, res) => {
          res.end(Buffer.alloc(bytes));
        },
        async ({ closed, open }) => {
          const socket = open();
          let received = 0;
          socket.on('data', chunk => {
            received += chunk.length;
            socket.pause();
            setTimeout(() => {
              socket.resume();
            }, 10);
          });
          socket.write(GET);
          await waitUntil(() => received > bytes || socket.closed);
          t.deepEqual(closed, []);
        },
      );
    });

    it('waits for a request that runs', async t => {
      await withServer(
        { maxUnreadMs: 100 },
        (_req, res) => {
          setTimeout(() => {
            res.end('late');
          }, 500);
        },
        async ({ open }) => {
          const socket = open();
          const received = collect(socket);
          socket.write(GET);
          await waitUntil(() => received().includes('late') || socket.closed);
          t.true(received().includes('late'));
        },
      );
    });
  });
});
