import type { Socket } from 'node:net';

/**
 * Whether a connection whose end is being reported was reset.
 *
 * If a reset arrives together with the last bytes, Node.js reports an end and no
 * error. The socket then has no remote address, whereas it still has one after a
 * regular close.
 *
 * @param socket - connection that emits `end`
 */
export function endedByReset(socket: Socket): boolean {
  return socket.remoteAddress === undefined;
}
