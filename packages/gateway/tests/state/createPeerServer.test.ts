import { GatewayState } from '@jujubecroft/operator/peers';
import { describe } from '@jujubecroft/testing';

import {
  createPeerServer,
  PULL_PATH,
  PULL_TYPE,
} from '../../src/state/createPeerServer.js';

const TOO_LARGE = 413;
const OK = 200;
const EMPTY_HEARTBEAT = '\x0a\x00';

describe('createPeerServer', ({ it }) => {
  // Guards against messages of many short parts, which take much time to decode.
  it('refuses pull requests that are larger than a datagram', async t => {
    const received: unknown[] = [];
    const app = createPeerServer(state => {
      received.push(state);
      return GatewayState.fromPartial({});
    });
    const statusOf = async (payload: string): Promise<number> => {
      const { statusCode } = await app.inject({
        method: 'POST',
        url: PULL_PATH,
        headers: { 'content-type': PULL_TYPE },
        payload,
      });
      return statusCode;
    };
    t.is(await statusOf(EMPTY_HEARTBEAT), OK);
    t.is(await statusOf(EMPTY_HEARTBEAT.repeat(40_000)), TOO_LARGE);
    t.is(received.length, 1);
    await app.close();
  });
});
