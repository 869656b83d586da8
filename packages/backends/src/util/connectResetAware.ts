import type { Socket } from 'node:net';
import { buildConnector } from 'undici';

const RESET_ERROR_CODE = 'RESET_BY_SERVER';
const TLS = 'https:';

function resetError(): Error {
  return Object.assign(
    new Error('connection reset together with the last bytes'),
    { code: RESET_ERROR_CODE },
  );
}

/**
 * Makes a connection that is reset fail, with a code that undici does not know.
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
  const push = socket.push.bind(socket);
  socket.push = (chunk: unknown, encoding) => {
    if (chunk === null && socket.remoteAddress === undefined) {
      socket.destroy(resetError());
      return false;
    }
    return push(chunk, encoding);
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
