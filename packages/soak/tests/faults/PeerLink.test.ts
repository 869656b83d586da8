import type { Socket } from 'node:dgram';
import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';
import { describe } from '@jujubecroft/testing';

import { PeerLink } from '../../src/faults/PeerLink.js';

const HOST = '127.0.0.1';
const SETTLED_MS = 60;

async function open(): Promise<Socket> {
  const socket = createSocket('udp4');
  socket.bind(0, HOST);
  await once(socket, 'listening');
  return socket;
}

describe('PeerLink', ({ it }) => {
  it('carries datagrams and their answers, and loses them while it is cut', async t => {
    const target = await open();
    target.on('message', (bytes, { address, port }) => {
      target.send(`re ${bytes.toString()}`, port, address);
    });
    const caller = await open();
    const heard: string[] = [];
    caller.on('message', bytes => heard.push(bytes.toString()));
    const link = new PeerLink(HOST, target.address().port);
    const port = await link.listen(HOST);
    const ask = async (text: string): Promise<void> => {
      caller.send(text, port, HOST);
      await sleep(SETTLED_MS);
    };
    await ask('well');
    link.set({ kind: 'cutForth' });
    await ask('forth');
    link.set({ kind: 'cutBack' });
    await ask('back');
    link.set({ kind: 'well' });
    await ask('again');
    t.deepEqual(heard, ['re well', 're again']);
    link.close();
    caller.close();
    target.close();
  });
});
