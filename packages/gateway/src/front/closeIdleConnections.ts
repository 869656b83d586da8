import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import { nextTurn } from '../util/nextTurn.js';

/**
 * Makes a server close an idle connection only if no request has arrived on it, or
 * begun to arrive.
 *
 * Timers fire before reads. After a delay of the event loop, the limit for idle
 * connections may seem to be exceeded although the next request arrived in time, and
 * closing the connection unread would leave that request without a response.
 *
 * Once a head has begun, Node.js still applies the limit for idle connections, counted
 * from its latest bytes. The head has a limit of its own, which may be longer.
 *
 * @param server - the server
 */
export function closeIdleConnections(server: Server): void {
  /** Number of bytes that had been read when a connection became idle. */
  const idleFrom = new WeakMap<Socket, number>();
  server.on('request', ({ socket }: IncomingMessage, res: ServerResponse) => {
    res.once('finish', () => {
      idleFrom.set(socket, socket.bytesRead);
    });
  });
  // With a listener, Node.js no longer closes the connection by itself.
  server.on('timeout', (socket: Socket) => {
    const { bytesRead } = socket;
    void nextTurn().then(() => {
      if (socket.bytesRead !== bytesRead || socket.destroyed) {
        return;
      }
      if (idleFrom.get(socket) === bytesRead) {
        socket.destroy();
        return;
      }
      // Bytes that begin no head, such as empty lines, do not keep the connection open.
      idleFrom.set(socket, bytesRead);
      socket.setTimeout(server.headersTimeout);
    });
  });
}
