import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { describe } from '@jujubecroft/testing';

import { trackRequests } from '../src/trackRequests.js';

const REQUEST = 'GET /x HTTP/1.1\r\nHost: a.example\r\n\r\n';
const REQUESTS = 3;
/** Time within which the end of a connection is noticed. */
const NOTICED_MS = 300;

const LEAVES: Readonly<Record<string, (caller: Socket) => void>> = {
  ends: caller => caller.end(),
  'ends inside a head': caller => caller.end('GET /y HTTP'),
  resets: caller => caller.resetAndDestroy(),
};

describe('responses that wait for an earlier one of their connection', ({
  it,
}) => {
  Object.entries(LEAVES).forEach(([how, leave]) => {
    // Guards against work that goes on for a caller that has left: Node.js closes only the
    // response that has the connection.
    it(`are closed when their caller ${how}`, async t => {
      const responses: ServerResponse[] = [];
      let closed = 0;
      const server = createServer((_req, res) => {
        responses.push(res);
        res.once('close', () => {
          closed += 1;
        });
      });
      const requestsOn = trackRequests(server);
      const accepted = once(server, 'connection') as Promise<[Socket]>;
      server.listen(0, '127.0.0.1');
      await once(server, 'listening');
      const { port } = server.address() as AddressInfo;
      const caller = connect(port, '127.0.0.1');
      caller.on('error', () => undefined);
      caller.write(REQUEST.repeat(REQUESTS));
      while (responses.length < REQUESTS) {
        await sleep(10);
      }
      leave(caller);
      const [socket] = await accepted;
      await sleep(NOTICED_MS);
      server.close();
      server.closeAllConnections();
      t.is(closed, REQUESTS);
      t.deepEqual(requestsOn(socket), []);
    });
  });
});
