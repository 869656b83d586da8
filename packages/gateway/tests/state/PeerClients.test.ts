import { status } from '@grpc/grpc-js';
import { describe } from '@jujubecroft/testing';
import { GatewayState } from '@jujubecroft/operator';

import { PeerClients } from '../../src/state/PeerClients.js';

const STATE = GatewayState.fromPartial({});
/** Nothing listens there. */
const ADDRESS = '127.0.0.1:9';

describe('PeerClients', ({ it }) => {
  // An instance stops while it calls another. The call ends, is tried again at
  // once, and the channel that it opens keeps the process alive until the
  // platform kills it.
  it('opens nothing once it was closed', async t => {
    const clients = new PeerClients();
    clients.close();
    const err = await t.throwsAsync(clients.exchange(ADDRESS, STATE));
    t.like(err, { code: status.CANCELLED, message: 'closed' });
  });

  it('tells of a peer that is down', async t => {
    const clients = new PeerClients();
    const err = await t.throwsAsync(clients.exchange(ADDRESS, STATE));
    t.not(err.message, 'closed');
    clients.close();
  });
});
