import type { ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { describe } from '@jujubecroft/testing';

import { InFlightRequests } from '../../src/front/InFlightRequests.js';

/** More than the buffers of a connection hold. */
const LARGE_BYTES = 24 * 1024 * 1024;
const SETTLED_MS = 100;

interface Fixture {
  readonly inFlight: InFlightRequests;
  /** Connection of the caller, which does not read until it is resumed. */
  readonly caller: Socket;
  readonly responses: readonly ServerResponse[];
}

/** Runs a test body with a large response that its caller does not read. */
async function withSlowCaller(
  request: string,
  body: (fixture: Fixture) => Promise<void>,
): Promise<void> {
  const inFlight = new InFlightRequests({} as never);
  const responses: ServerResponse[] = [];
  const server = createServer((_, res) => {
    responses.push(res);
    res.end(Buffer.alloc(LARGE_BYTES));
    inFlight.trackDelivery(res);
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const caller = connect(port, '127.0.0.1', () => {
    caller.write(request);
  });
  caller.pause();
  await sleep(SETTLED_MS);
  try {
    await body({ inFlight, caller, responses });
  } finally {
    caller.destroy();
    server.close();
  }
}

describe('InFlightRequests', ({ it }) => {
  // Guards against an instance that stops while answers wait in its memory for slow readers.
  it('counts a response until its caller has read so much that none of it is in memory', async t => {
    const request = 'GET / HTTP/1.1\r\nhost: a\r\n\r\n';
    await withSlowCaller(request, async ({ inFlight, caller, responses }) => {
      t.is(responses.length, 1);
      t.is(inFlight.count, 1);
      caller.resume();
      while (inFlight.count > 0) {
        await sleep(SETTLED_MS);
      }
      t.is(responses[0]?.writableFinished, true);
    });
  });

  // Guards against a stop that ends what only the connection delimits as if it were complete.
  it('resets the connections of responses that are not delivered in time', async t => {
    const request = 'GET / HTTP/1.0\r\n\r\n';
    await withSlowCaller(request, async ({ inFlight, caller }) => {
      inFlight.cutResponses();
      let wasReset = false;
      caller.once('error', () => {
        wasReset = true;
      });
      caller.prependOnceListener('end', () => {
        wasReset ||= caller.remoteAddress === undefined;
      });
      const closed = new Promise(resolve => caller.once('close', resolve));
      caller.resume();
      await closed;
      t.true(wasReset);
    });
  });
});
