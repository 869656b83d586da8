import type { Socket } from 'node:net';
import { connect, createServer } from 'node:net';
import { listenOn } from '@jujubecroft/stand-ins/util';
import { describe } from '@jujubecroft/testing';

import { FaultLink } from '../../src/faults/FaultLink.js';

const HOST = '127.0.0.1';
const MOMENT_MS = 120;

const moment = (): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, MOMENT_MS));

/** An echo behind a link, and a caller's end of a connection to it. */
async function withEcho(
  body: (link: FaultLink, open: () => Promise<Caller>) => Promise<void>,
): Promise<void> {
  const echoed: Socket[] = [];
  const server = createServer(socket => {
    echoed.push(socket);
    // A reset is what some tests bring about.
    socket.on('error', () => undefined);
    socket.pipe(socket);
  });
  const link = new FaultLink(HOST, await listenOn(server, HOST));
  const port = await link.listen(HOST);
  const callers: Caller[] = [];
  try {
    await body(link, async () => {
      const caller = new Caller(port);
      callers.push(caller);
      await caller.connected;
      return caller;
    });
  } finally {
    callers.forEach(({ socket }) => socket.destroy());
    link.close();
    echoed.forEach(socket => socket.destroy());
    server.close();
  }
}

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
    // A reset is what some tests bring about.
    this.socket.on('error', () => undefined);
    this.socket.on('data', chunk => {
      this.text += String(chunk);
    });
  }

  async until(text: string): Promise<void> {
    while (this.text !== text) {
      await new Promise(resolve => setTimeout(resolve, 5));
    }
  }
}

describe('FaultLink', ({ it }) => {
  it('carries bytes both ways', async t => {
    await withEcho(async (_, open) => {
      const caller = await open();
      caller.socket.write('hello');
      await caller.until('hello');
      t.is(caller.text, 'hello');
    });
  });

  it('holds bytes up while it is cut and delivers them afterwards', async t => {
    await withEcho(async (link, open) => {
      const caller = await open();
      link.set({ kind: 'cutBack' });
      caller.socket.write('late');
      await moment();
      t.is(caller.text, '');
      link.set({ kind: 'well' });
      await caller.until('late');
      t.is(caller.text, 'late');
    });
  });

  it('keeps bytes in order when a delay ends', async t => {
    await withEcho(async (link, open) => {
      const caller = await open();
      link.set({ kind: 'delay', ms: MOMENT_MS });
      caller.socket.write('first ');
      await new Promise(resolve => setTimeout(resolve, MOMENT_MS / 2));
      link.set({ kind: 'well' });
      caller.socket.write('second');
      await caller.until('first second');
      t.is(caller.text, 'first second');
    });
  });

  it('silences open connections for good while new ones work', async t => {
    await withEcho(async (link, open) => {
      const old = await open();
      old.socket.write('a');
      await old.until('a');
      link.silenceAll();
      old.socket.write('b');
      const fresh = await open();
      fresh.socket.write('c');
      await fresh.until('c');
      await moment();
      t.is(old.text, 'a');
      t.false(old.socket.destroyed);
    });
  });

  it('resets open connections', async t => {
    await withEcho(async (link, open) => {
      const caller = await open();
      caller.socket.write('a');
      await caller.until('a');
      link.resetAll();
      await caller.closed;
      t.true(caller.socket.destroyed);
    });
  });
});
