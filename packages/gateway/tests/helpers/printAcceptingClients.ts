// Prints which clients accept the answer of a server, as JSON: node printAcceptingClients.ts HOST PORT
//
// It is a program of its own, since Node.js chooses its HTTP parser when a process starts.
import type { BackendServerId, Replica, RequestId } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import { KeepAliveAgent } from '../../src/backends/KeepAliveAgent.js';
import { sendAttempt } from '../../src/backends/sendAttempt.js';
import { sendHttpRequest } from '../../src/backends/sendHttpRequest.js';
import { openTunnel } from '../../src/relay/openTunnel.js';

const TIMEOUT_MS = 400;
const [, , host = '', port = ''] = process.argv;
const address = `${host}:${port}`;

async function attempt(): Promise<boolean> {
  const agent = new KeepAliveAgent({
    maxConnections: 1,
    connectTimeoutMs: TIMEOUT_MS,
  });
  const { ended } = sendAttempt(
    { host, port: Number(port), agent, relayOf: () => null },
    {
      id: brand<RequestId>('r-1'),
      method: 'GET',
      target: '/',
      headers: ['Host', host],
      body: null,
    },
    { maySend: () => true, onStart: () => false, onData: () => true },
  );
  const { kind } = await ended;
  agent.destroy();
  return kind === 'complete';
}

const call = (): Promise<boolean> =>
  sendHttpRequest({
    address,
    method: 'GET',
    path: '/',
    timeoutMs: TIMEOUT_MS,
  }).then(
    () => true,
    () => false,
  );

const tunnel = (): Promise<boolean> =>
  openTunnel({
    peerAddress: address,
    replica: { id: brand<BackendServerId>('b-1'), address } as Replica,
    tunnel: 't-1',
    signal: new AbortController().signal,
  }).then(
    socket => {
      socket.destroy();
      return true;
    },
    () => false,
  );

const accepted = {
  attempt: await attempt(),
  call: await call(),
  tunnel: await tunnel(),
};
console.log(JSON.stringify(accepted));
