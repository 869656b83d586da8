import type { Socket } from 'node:net';

import { connectionOf } from './clients/limitClients.js';

const drop = (): undefined => undefined;

/**
 * Reads and drops all further bytes of a connection of an HTTP server, so that
 * no more requests are read from it. Its end is noticed as before.
 *
 * The connection is not paused, since the end of a paused one goes unnoticed.
 *
 * @param socket - the connection
 */
export function dropInput(socket: Socket): void {
  const parsing = socket.listeners('data');
  // With this listener, the server's parser no longer reads the connection by
  // itself but through the listener that is removed next.
  socket.on('data', drop);
  parsing.forEach(listener => {
    socket.removeListener('data', listener as (data: Buffer) => void);
  });
  connectionOf(socket)?.dropInput();
  socket.resume();
}
