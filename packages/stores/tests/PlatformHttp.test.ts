import { createServer } from 'node:net';
import { listenOn } from '@jujubecroft/stand-ins/util';
import { describe } from '@jujubecroft/testing';

import {
  DEFAULT_PLATFORM_HTTP,
  PlatformHttp,
} from '../src/http/PlatformHttp.js';

const HOST = '127.0.0.1';
/** Time for a part of a reply to be read. */
const PART_MS = 40;

describe('PlatformHttp', ({ it }) => {
  // Guards against half an object that is taken for the whole one.
  [0, PART_MS].forEach(delayMs => {
    it(`rejects a reply without a length that is reset after ${delayMs} ms`, async t => {
      const server = createServer(socket => {
        socket.on('error', () => undefined);
        socket.once('data', () => {
          socket.write('HTTP/1.1 200 OK\r\n\r\nhalf', () => {
            setTimeout(() => socket.resetAndDestroy(), delayMs);
          });
        });
      });
      const url = `http://${HOST}:${await listenOn(server, HOST)}`;
      const http = new PlatformHttp({ ...DEFAULT_PLATFORM_HTTP, url });
      t.teardown(async () => {
        await http.close();
        server.close();
      });
      const read = {
        method: 'GET',
        path: '/objects/o',
        repeatable: true,
      } as const;
      await t.throwsAsync(http.send(read), { message: /did not answer/ });
    });
  });
});
