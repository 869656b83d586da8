import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';

/** A request that an HTTP server has handed to its listeners, and its response. */
export interface TrackedRequest {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
}

/**
 * Tracks the requests of all connections of a server until their responses are
 * complete or their connections are closed.
 *
 * @param server - HTTP server
 * @returns a function that returns the tracked requests of a connection, oldest
 *   first
 */
export function trackRequests(
  server: Server,
): (socket: Duplex) => readonly TrackedRequest[] {
  const bySocket = new WeakMap<Duplex, Set<TrackedRequest>>();
  server.prependListener(
    'request',
    (req: IncomingMessage, res: ServerResponse) => {
      const tracked = { req, res };
      const requests = bySocket.get(req.socket) ?? new Set<TrackedRequest>();
      bySocket.set(req.socket, requests.add(tracked));
      res.once('close', () => {
        requests.delete(tracked);
      });
    },
  );
  // A response that waits for an earlier one on its connection emits no event
  // when the connection is closed; the entry of the connection goes with it.
  return socket => [...(bySocket.get(socket) ?? [])];
}
