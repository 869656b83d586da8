import type { Socket } from 'node:net';
import type { RequestId } from '@jujubecroft/types';

/** Maximum number of rejections on a connection that is used again. */
const MAX_REJECTIONS = 256;

/**
 * Remembers which requests were rejected on which connection.
 *
 * A replica may send a copy of a rejection late, where the next response is expected. The id
 * tells a copy from the response to another request, but not from the response to the same
 * request if its caller repeats it on that connection.
 */
export class RejectedRequests {
  readonly #idsBySocket = new WeakMap<Socket, Set<RequestId>>();

  /** Records that a request was rejected on a connection. */
  add(socket: Socket, id: RequestId): void {
    const ids = this.#idsBySocket.get(socket) ?? new Set<RequestId>();
    this.#idsBySocket.set(socket, ids.add(id));
  }

  /**
   * Whether a connection may carry a request, so that a rejection with its id can only be
   * the response to it.
   */
  allows(socket: Socket, id: RequestId): boolean {
    const ids = this.#idsBySocket.get(socket);
    return ids === undefined || (ids.size < MAX_REJECTIONS && !ids.has(id));
  }
}
