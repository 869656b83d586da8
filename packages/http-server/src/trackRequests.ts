import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';

/** A request that an HTTP server has handed to its listeners, and its response. */
export interface TrackedRequest {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
}

/**
 * Closes a response that waits for an earlier one on its connection. Node.js
 * closes only the response that has the connection.
 */
function closeIfQueued({ res }: TrackedRequest): void {
  if (res.socket === null && !res.writableFinished) {
    res.destroy();
    res.emit('close');
  }
}

/**
 * Tracks the requests of all connections of a server until their responses are
 * complete or their connections are closed.
 *
 * When a connection is closed, all its incomplete responses emit `close`, also
 * those that wait for an earlier one.
 *
 * @param server - HTTP server
 * @returns a function that returns the tracked requests of a connection, oldest
 *   first
 */
export function trackRequests(
  server: Server,
): (socket: Duplex) => readonly TrackedRequest[] {
  const bySocket = new WeakMap<Duplex, Set<TrackedRequest>>();

  const trackConnection = (socket: Duplex): Set<TrackedRequest> => {
    const requests = new Set<TrackedRequest>();
    bySocket.set(socket, requests);
    socket.once('close', () => {
      requests.forEach(closeIfQueued);
    });
    return requests;
  };

  server.prependListener(
    'request',
    (req: IncomingMessage, res: ServerResponse) => {
      const tracked = { req, res };
      const requests = bySocket.get(req.socket) ?? trackConnection(req.socket);
      requests.add(tracked);
      res.once('close', () => {
        requests.delete(tracked);
      });
    },
  );
  return socket => [...(bySocket.get(socket) ?? [])];
}
