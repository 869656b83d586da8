import { describe } from '@jujubecroft/testing';

import { PeerSocket } from '../../src/state/PeerSocket.js';

const HOST = '127.0.0.1';
const PORT = 21_700 + (process.pid % 200);
const ignore = (): void => undefined;

describe('PeerSocket', ({ it }) => {
  it('delivers datagrams with the address of the sender', async t => {
    const failedRecipients: string[] = [];
    const recordError = (to: string): void => {
      failedRecipients.push(to);
    };
    const sender = new PeerSocket(ignore, recordError);
    await sender.listen({ host: HOST, port: PORT });
    const received = await new Promise<readonly [string, string]>(
      (resolve, reject) => {
        const receiver = new PeerSocket((bytes, from) => {
          receiver.close();
          resolve([new TextDecoder().decode(bytes), from]);
        }, recordError);
        receiver.listen({ host: HOST, port: PORT + 200 }).then(() => {
          sender.send(
            new TextEncoder().encode('news'),
            `${HOST}:${PORT + 200}`,
          );
        }, reject);
      },
    );
    sender.close();
    t.deepEqual(received, ['news', `${HOST}:${PORT}`]);
    t.deepEqual(failedRecipients, []);
  });

  // While an instance stops, its loops may still try to send. That must neither throw
  // nor open anything that keeps the process from exiting.
  it('sends nothing after it was closed, and can be closed twice', async t => {
    const failedRecipients: string[] = [];
    const socket = new PeerSocket(ignore, to => {
      failedRecipients.push(to);
    });
    await socket.listen({ host: HOST, port: PORT + 400 });
    socket.close();
    socket.close();
    socket.send(new Uint8Array([1]), `${HOST}:${PORT}`);
    t.deepEqual(failedRecipients, []);
  });
});
