import type { IncomingMessage, Server } from 'node:http';
import { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';

import type { ClientLimitReason } from './ClientAccount.js';
import { ClientAccount } from './ClientAccount.js';
import type { ClientLimits } from './ClientLimits.js';
import { closeStalled } from './closeStalled.js';
import { InputQueue } from './InputQueue.js';
import { TrackedConnection } from './TrackedConnection.js';

const connections = new WeakMap<Duplex, TrackedConnection>();

/**
 * Returns what is known of a connection of a server whose clients are limited.
 *
 * @param socket - the connection
 * @returns undefined if the clients of its server are not limited
 */
export function connectionOf(socket: Duplex): TrackedConnection | undefined {
  return connections.get(socket);
}

/**
 * Response of a server whose clients are limited.
 *
 * The server creates one for every head that it reads, also for those that it answers
 * by itself and reports to no listener, such as a request without a host.
 */
export class CountedResponse<
  Request extends IncomingMessage = IncomingMessage,
> extends ServerResponse<Request> {
  constructor(...args: ConstructorParameters<typeof ServerResponse<Request>>) {
    super(...args);
    const [req] = args;
    connections.get(req.socket)?.onHead(req, this);
  }
}

/** Called before the connection of a client is closed since a limit is reached. */
export type ClientLimitListener = (
  connection: TrackedConnection,
  reason: ClientLimitReason,
) => void;

/**
 * Limits what the clients of an HTTP server may hold together.
 *
 * The requests of a connection are read one by one, and no further one while too many of
 * it are unanswered. Where that is not enough, the connections that hold most are closed,
 * as are those that are idle, or whose clients take nothing of an answer.
 * The server has to be created with `CountedResponse`, and must not listen yet.
 *
 * @param server - the server
 * @param limits - what its clients may hold
 * @param onLimit - called before a connection is closed
 * @param clock - monotonic clock, in milliseconds
 * @returns what its clients hold
 */
export function limitClients(
  server: Server,
  limits: ClientLimits,
  onLimit: ClientLimitListener,
  clock: () => number = () => performance.now(),
): ClientAccount<TrackedConnection> {
  const account = new ClientAccount<TrackedConnection>(limits, onLimit);
  const queue = new InputQueue(clock);
  server.on('connection', (socket: Socket) => {
    const connection = new TrackedConnection(socket, account, queue, clock);
    connections.set(socket, connection);
    account.add(connection);
  });
  // Without a listener, the server closes a connection that asks for a tunnel.
  if (server.listenerCount('connect') > 0) {
    server.prependListener('connect', (_req, socket) => {
      connections.get(socket)?.detach();
    });
  }
  closeStalled(server, account, connectionOf);
  return account;
}
