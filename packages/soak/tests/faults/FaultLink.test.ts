import type { Socket } from 'node:net';
import { connect, createServer } from 'node:net';
import { listenOn } from '@jujubecroft/stand-ins/util';
import { describe } from '@jujubecroft/testing';

import { FaultLink } from '../../src/faults/FaultLink.js';

const HOST = '127.0.0.1';
const SETTLE_MS = 120;

const settle = (): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, SETTLE_MS));

/** Runs a test with an echo server behind a link, and a function that connects to it. */
async function withEchoServer(
  run: (link: FaultLink, open: () => Promise<Caller>) => Promise<void>,
): Promise<void> {
  const serverSockets: Socket[] = [];
  const server = createServer(socket => {
    serverSockets.push(socket);
    // Some tests reset connections.
    socket.on('error', () => undefined);
    socket.pipe(socket);
  });
  const link = new FaultLink(HOST, await listenOn(server, HOST));
  const port = await link.listen(HOST);
  const callers: Caller[] = [];
  try {
    await run(link, async () => {
      const caller = new Caller(port);
      callers.push(caller);
      await caller.connected;
      return caller;
    });
  } finally {
    callers.forEach(({ socket }) => socket.destroy());
    link.close();
    serverSockets.forEach(socket => socket.destroy());
    server.close();
  }
}

/** Client that collects the text it receives. */
class Caller {
  readonly socket: Socket;
  readonly connected: Promise<void>;
  readonly closed: Promise<void>;
  text = '';

  constructor(port: number) {
    this.socket = connect(port, HOST);
    this.connected = new Promise(resolve => {
      this.socket.once('connect', () => {
        resolve();
      });
    });
    this.closed = new Promise(resolve => {
      this.socket.once('close', () => {
        resolve();
      });
    });
    // Some tests reset connections.
    this.socket.on('error', () => undefined);
    this.socket.on('data', chunk => {
      this.text += String(chunk);
    });
  }

  async waitFor(text: string): Promise<void> {
    while (this.text !== text) {
      await new Promise(resolve => setTimeout(resolve, 5));
    }
  }
}

describe('FaultLink', ({ it }) => {
  it('forwards bytes in both directions', async t => {
    await withEchoServer(async (_, open) => {
      const caller = await open();
      caller.socket.write('hello');
      await caller.waitFor('hello');
      t.is(caller.text, 'hello');
    });
  });

  // Guards against truncated answers that look complete since the link ends them regularly.
  it('passes a reset on as a reset', async t => {
    const server = createServer(socket => {
      socket.write('half', () => {
        socket.resetAndDestroy();
      });
    });
    const link = new FaultLink(HOST, await listenOn(server, HOST));
    const port = await link.listen(HOST);
    for (let round = 0; round < 50; round += 1) {
      const { socket, closed } = new Caller(port);
      let wasReset = false;
      socket.once('error', () => {
        wasReset = true;
      });
      socket.prependOnceListener('end', () => {
        wasReset ||= socket.remoteAddress === undefined;
      });
      await closed;
      t.true(wasReset);
    }
    link.close();
    server.close();
  });

  it('refuses connections while its target is gone', async t => {
    await withEchoServer(async (link, open) => {
      await open();
      link.refuse();
      const refused = open().then(
        () => false,
        () => true,
      );
      await settle();
      await link.acceptWithTarget();
      const caller = await open();
      caller.socket.write('again');
      await caller.waitFor('again');
      t.is(caller.text, 'again');
      t.not(await Promise.race([refused, settle().then(() => null)]), false);
    });
  });

  it('holds bytes back while the link is cut and delivers them afterwards', async t => {
    await withEchoServer(async (link, open) => {
      const caller = await open();
      link.setMode({ kind: 'cutBack' });
      caller.socket.write('late');
      await settle();
      t.is(caller.text, '');
      link.setMode({ kind: 'well' });
      await caller.waitFor('late');
      t.is(caller.text, 'late');
    });
  });

  it('keeps the order of bytes when a delay ends', async t => {
    await withEchoServer(async (link, open) => {
      const caller = await open();
      link.setMode({ kind: 'delay', ms: SETTLE_MS });
      caller.socket.write('first ');
      await new Promise(resolve => setTimeout(resolve, SETTLE_MS / 2));
      link.setMode({ kind: 'well' });
      caller.socket.write('second');
      await caller.waitFor('first second');
      t.is(caller.text, 'first second');
    });
  });

  it('silences open connections permanently while new connections work', async t => {
    await withEchoServer(async (link, open) => {
      const existing = await open();
      existing.socket.write('a');
      await existing.waitFor('a');
      link.silenceAll();
      existing.socket.write('b');
      const fresh = await open();
      fresh.socket.write('c');
      await fresh.waitFor('c');
      await settle();
      t.is(existing.text, 'a');
      t.false(existing.socket.destroyed);
    });
  });

  it('resets open connections', async t => {
    await withEchoServer(async (link, open) => {
      const caller = await open();
      caller.socket.write('a');
      await caller.waitFor('a');
      link.resetAll();
      await caller.closed;
      t.true(caller.socket.destroyed);
    });
  });
});
