import { describe } from '@jujubecroft/testing';

import { PeerSocket } from '../../src/state/PeerSocket.js';

const HOST = '127.0.0.1';
const PORT = 21_700 + (process.pid % 200);
const unheard = (): void => undefined;

describe('PeerSocket', ({ it }) => {
  it('carries datagrams and tells where they came from', async t => {
    const faults: string[] = [];
    const noteFault = (to: string): void => {
      faults.push(to);
    };
    const sender = new PeerSocket(unheard, noteFault);
    await sender.listen({ host: HOST, port: PORT });
    const heard = await new Promise<readonly [string, string]>(
      (resolve, reject) => {
        const receiver = new PeerSocket((bytes, from) => {
          receiver.close();
          resolve([new TextDecoder().decode(bytes), from]);
        }, noteFault);
        receiver.listen({ host: HOST, port: PORT + 200 }).then(() => {
          sender.send(
            new TextEncoder().encode('news'),
            `${HOST}:${PORT + 200}`,
          );
        }, reject);
      },
    );
    sender.close();
    t.deepEqual(heard, ['news', `${HOST}:${PORT}`]);
    t.deepEqual(faults, []);
  });

  // An instance stops while its rounds still want to ask others. What is sent
  // then must neither throw nor open anything that keeps the process from ending.
  it('sends nothing once it was closed', async t => {
    const faults: string[] = [];
    const socket = new PeerSocket(unheard, to => {
      faults.push(to);
    });
    await socket.listen({ host: HOST, port: PORT + 400 });
    socket.close();
    socket.close();
    socket.send(new Uint8Array([1]), `${HOST}:${PORT}`);
    t.deepEqual(faults, []);
  });
});
