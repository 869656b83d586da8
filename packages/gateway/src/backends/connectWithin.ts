import { connect } from 'node:net';
import type { Socket } from 'node:net';
import type { buildConnector } from 'undici';

/** Code of a reset, other than the system's own. */
const RESET_CODE = 'RESET_BY_BACKEND';

/**
 * Tells resets apart from regular ends.
 *
 * Guards against an answer without length or chunks whose replica breaks off: it
 * would look complete, since such an answer ends with its connection. Resets get
 * lost in two ways. The HTTP client takes one for the end of such an answer; here
 * it gets another code before the client sees it. And when a reset comes together
 * with the last bytes, the event loop reports an end and no error; a connection
 * that the other side closed has a peer then, one that was reset has none.
 */
function tellResets(socket: Socket, onResetAtEnd: () => void): void {
  socket.prependListener('error', (err: NodeJS.ErrnoException) => {
    if (err.code === 'ECONNRESET') {
      err.code = RESET_CODE;
    }
  });
  socket.prependListener('end', () => {
    if (socket.remoteAddress === undefined) {
      onResetAtEnd();
    }
  });
}

/**
 * Creates a connector that gives up early and tells resets apart.
 *
 * @param timeoutMs - bound on opening a connection
 * @param onResetAtEnd - told just before the client sees an end that is a reset
 * @returns the connector
 */
export function connectWithin(
  timeoutMs: number,
  onResetAtEnd: () => void,
): buildConnector.connector {
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
    tellResets(socket, onResetAtEnd);
    socket.once('error', onEarlyError);
    socket.once('connect', () => {
      clearTimeout(timer);
      socket.off('error', onEarlyError);
      callback(null, socket);
    });
  };
}
