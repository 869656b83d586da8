import type { Server } from 'node:http';
import type { Socket } from 'node:net';

import { nextTurn } from '../util/nextTurn.js';

/**
 * Makes a server close an idle connection only if no request has arrived on it.
 *
 * Timers fire before reads. After a delay of the event loop, the limit for idle
 * connections may seem to be exceeded although the next request arrived in time, and
 * closing the connection unread would leave that request without a response.
 *
 * @param server - the server
 */
export function closeIdleConnections(server: Server): void {
  // With a listener, Node.js no longer closes the connection by itself.
  server.on('timeout', (socket: Socket) => {
    const { bytesRead } = socket;
    void nextTurn().then(() => {
      if (socket.bytesRead === bytesRead) {
        socket.destroy();
      }
    });
  });
}
