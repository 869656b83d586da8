import type { Socket } from 'node:dgram';
import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';
import { describe } from '@jujubecroft/testing';

import { PeerFaultLink } from '../../src/faults/PeerFaultLink.js';

const HOST = '127.0.0.1';
const SETTLE_MS = 60;

async function openSocket(): Promise<Socket> {
  const socket = createSocket('udp4');
  socket.bind(0, HOST);
  await once(socket, 'listening');
  return socket;
}

describe('PeerFaultLink', ({ it }) => {
  it('forwards datagrams and their replies, and drops them while the link is cut', async t => {
    const target = await openSocket();
    target.on('message', (bytes, { address, port }) => {
      target.send(`re ${bytes.toString()}`, port, address);
    });
    const caller = await openSocket();
    const received: string[] = [];
    caller.on('message', bytes => received.push(bytes.toString()));
    const link = new PeerFaultLink(HOST, target.address().port);
    const port = await link.listen(HOST);
    const send = async (text: string): Promise<void> => {
      caller.send(text, port, HOST);
      await sleep(SETTLE_MS);
    };
    await send('well');
    link.setMode({ kind: 'cutForth' });
    await send('forth');
    link.setMode({ kind: 'cutBack' });
    await send('back');
    link.setMode({ kind: 'well' });
    await send('again');
    t.deepEqual(received, ['re well', 're again']);
    link.close();
    caller.close();
    target.close();
  });
});
