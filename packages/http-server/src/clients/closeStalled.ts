import type { IncomingMessage, Server } from 'node:http';
import type { Socket } from 'node:net';
import { setImmediate as nextTurn } from 'node:timers/promises';

import type { ClientAccount } from './ClientAccount.js';
import type { TrackedConnection } from './TrackedConnection.js';

/**
 * Makes a server close connections whose clients take nothing of an answer, and idle
 * ones on which no request has arrived, or begun to arrive.
 *
 * Timers fire before reads. After a delay of the event loop, the limit for idle
 * connections may seem to be exceeded although the next request arrived in time, and
 * closing the connection unread would leave that request without a response.
 *
 * Once a head has begun, Node.js still applies the limit for idle connections, counted
 * from its latest bytes. The head has a limit of its own, which may be longer.
 *
 * @param server - the server
 * @param account - what its clients hold
 * @param connectionOf - returns what is known of a connection
 */
export function closeStalled(
  server: Server,
  account: ClientAccount<TrackedConnection>,
  connectionOf: (socket: Socket) => TrackedConnection | undefined,
): void {
  /** Idle connections that are kept for as long as a head may take. */
  const extended = new WeakSet<Socket>();
  server.on('request', ({ socket }: IncomingMessage) => {
    extended.delete(socket);
  });
  // Also expires while the client takes no byte of an answer.
  server.timeout = account.limits.maxUnreadMs;

  const closeIdle = async (
    connection: TrackedConnection,
    bytesRead: number,
  ): Promise<void> => {
    const { socket } = connection;
    await nextTurn();
    if (socket.bytesRead !== bytesRead || connection.requests > 0) {
      return;
    }
    // Bytes that begin no head, such as empty lines, do not keep the connection open.
    if (connection.headBytes > 0 && !extended.has(socket)) {
      extended.add(socket);
      socket.setTimeout(server.headersTimeout);
      return;
    }
    socket.destroy();
  };

  // With a listener, Node.js no longer closes the connection by itself.
  server.on('timeout', (socket: Socket) => {
    const connection = connectionOf(socket);
    if (!connection) {
      socket.destroy();
    } else if (connection.isUnread) {
      account.close(connection, 'unread');
    } else if (connection.requests === 0) {
      void closeIdle(connection, socket.bytesRead);
    }
  });
}
