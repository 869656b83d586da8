import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** The requests of one connection. */
interface CallerConnection {
  /** Response to the latest request. */
  last: ServerResponse;
  /** Settles when the connection is closed; null until a request waits for its turn. */
  closed: Promise<unknown> | null;
}

function closeOf(emitter: ServerResponse | Socket): Promise<unknown> {
  return new Promise(resolve => {
    emitter.once('close', resolve);
  });
}

/**
 * Lets each request of a connection begin once the response to the one before is complete.
 *
 * A response may end its connection, which leaves the requests behind it without a response,
 * and a response that waits behind another one is not told when its caller leaves. Until its
 * turn, no replica runs a request.
 */
export class CallerTurns {
  readonly #connections = new WeakMap<Socket, CallerConnection>();

  /**
   * Waits for the turn of a request. Has to be called in the order in which the requests of
   * a connection were received.
   *
   * @param req - the request
   * @param res - its response
   * @returns false if the connection ends with an earlier response, or before it
   */
  async take(
    { socket }: IncomingMessage,
    res: ServerResponse,
  ): Promise<boolean> {
    const connection = this.#connections.get(socket);
    if (!connection) {
      this.#connections.set(socket, { last: res, closed: null });
      return true;
    }
    const previous = connection.last;
    connection.last = res;
    if (!previous.writableFinished) {
      connection.closed ??= closeOf(socket);
      await Promise.race([connection.closed, closeOf(previous)]);
    }
    // Not writable once an earlier response has begun to end the connection.
    return socket.writable;
  }
}
