import type { Socket } from 'node:net';
import { buildConnector, errors } from 'undici';

const RESET_ERROR_CODE = 'RESET_BY_SERVER';
const TLS = 'https:';

/**
 * Makes a connection that is reset fail, with an error that undici takes for no end.
 *
 * For undici, the error `ECONNRESET` ends a body without a length, so that a part of it looks
 * complete. If a reset is read together with the last bytes, Node.js reports an end and no
 * error; the socket then has no remote address, whereas it still has one after a regular end.
 */
function failIfReset(socket: Socket): void {
  socket.prependListener('error', (err: NodeJS.ErrnoException) => {
    if (err.code === 'ECONNRESET') {
      err.code = RESET_ERROR_CODE;
    }
  });
  const emit = socket.emit.bind(socket);
  // A listener could not keep the event from undici. It comes after all data was read, so that
  // a reset does not affect a body whose length or last chunk was received.
  socket.emit = (event: string | symbol, ...args: readonly unknown[]) => {
    if (event === 'end' && socket.remoteAddress === undefined) {
      // undici's own error for an end, after which requests that wait get another connection.
      socket.destroy(new errors.SocketError('connection reset'));
      return true;
    }
    return emit(event, ...args);
  };
}

/**
 * Creates a connector for undici that tells resets of a connection from regular ends.
 *
 * @param timeoutMs - timeout for opening a connection, in milliseconds
 * @returns the connector; connections with TLS state their end themselves
 */
export function connectResetAware(timeoutMs: number): buildConnector.connector {
  const connect = buildConnector({ timeout: timeoutMs });
  return (options, callback) => {
    connect(options, (...args) => {
      const [err, socket] = args;
      if (err === null && options.protocol !== TLS) {
        failIfReset(socket);
      }
      callback(...args);
    });
  };
}
