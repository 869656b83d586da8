import type { Server } from 'node:http';
import type { Socket } from 'node:net';

/**
 * Makes a server close connections that it no longer knows, as it does others.
 *
 * After a CONNECT, Node.js leaves a connection to the listener and no longer
 * closes it with the server, which would then wait for its end.
 *
 * @param server - the server
 * @param isIdle - whether all responses of a connection have been written
 * @returns a function that adds a connection
 */
export function closeDetached(
  server: Server,
  isIdle: (socket: Socket) => boolean,
): (socket: Socket) => void {
  const detached = new Set<Socket>();
  const closeAll = server.closeAllConnections.bind(server);
  const closeIdle = server.closeIdleConnections.bind(server);
  server.closeAllConnections = () => {
    closeAll();
    detached.forEach(socket => socket.destroy());
  };
  // The server also calls it when it is closed.
  server.closeIdleConnections = () => {
    closeIdle();
    [...detached].filter(isIdle).forEach(socket => socket.destroy());
  };
  return socket => {
    detached.add(socket);
    socket.once('close', () => {
      detached.delete(socket);
    });
  };
}
