import type { IncomingMessage, Server, ServerResponse } from 'node:http';

/**
 * Makes a server keep each connection for as long as its last response announced.
 *
 * Node.js announces the limit for idle connections that was in force when the request
 * arrived, and applies the one in force when the response is complete. If the limit
 * shrinks in between, callers would use the connection when it is being closed.
 *
 * @param server - the server, whose limit may change while it runs
 */
export function keepAsAnnounced(server: Server): void {
  server.on('request', ({ socket }: IncomingMessage, res: ServerResponse) => {
    const announcedMs = server.keepAliveTimeout;
    res.once('finish', () => {
      const shrunkMs = announcedMs - server.keepAliveTimeout;
      const { timeout = 0 } = socket;
      // Node.js has set it if the connection is idle now.
      if (timeout > 0 && shrunkMs > 0) {
        socket.setTimeout(timeout + shrunkMs);
      }
    });
  });
}
