import { connect } from 'node:net';
import type { Socket } from 'node:net';
import type { buildConnector } from 'undici';

/**
 * Creates a connector that gives up early and tells resets apart.
 *
 * The HTTP client takes a reset for the regular end of an answer that has
 * neither length nor chunks. A replica that breaks off in the middle of such an
 * answer would look complete. The connector sees the error first and gives it
 * another code, so that the client treats it as the failure it is.
 *
 * @param timeoutMs - bound on opening a connection
 * @returns the connector
 */
export function connectWithin(timeoutMs: number): buildConnector.connector {
  return ({ hostname, port }, callback) => {
    const socket: Socket = connect({ host: hostname, port: Number(port) });
    socket.setNoDelay(true);
    const timer = setTimeout(() => {
      socket.destroy(new Error(`no connection within ${timeoutMs} ms`));
    }, timeoutMs);
    const onEarlyError = (err: Error): void => {
      clearTimeout(timer);
      callback(err, null);
    };
    socket.prependListener('error', (err: NodeJS.ErrnoException) => {
      if (err.code === 'ECONNRESET') {
        err.code = 'RESET_BY_BACKEND';
      }
    });
    socket.once('error', onEarlyError);
    socket.once('connect', () => {
      clearTimeout(timer);
      socket.off('error', onEarlyError);
      callback(null, socket);
    });
  };
}
