import type { ClientRequest } from 'node:http';
import type { Socket } from 'node:net';

import { InvalidResponseError } from './InvalidResponseError.js';

/** Limit for the heads of a response; larger than that of the HTTP parser for one head. */
const MAX_FRAMING_BYTES = 128 * 1024;
/** Chunks of a body after which other connections are served before more is read. */
const MAX_CHUNKS_PER_READ = 256;

/** How much of the body of a response has arrived. */
export interface BodyProgress {
  readonly bytes: number;
  readonly chunks: number;
}

/**
 * Limits the bytes of a response that are not part of its body.
 *
 * The HTTP parser limits the size of one head and of the extensions of one chunk. Blank
 * lines before the status line, interim responses and chunks with extensions may follow one
 * another without end.
 */
export class FramingLimit {
  #leftBytes = MAX_FRAMING_BYTES;
  #bodyBytes = 0;

  /**
   * Counts bytes that were read.
   *
   * @param bytes - number of bytes of one read
   * @param bodyBytes - size of the body that has arrived so far
   * @returns whether the limit is kept
   */
  onRead(bytes: number, bodyBytes: number): boolean {
    const added = bodyBytes - this.#bodyBytes;
    const framing = bytes - added;
    this.#bodyBytes = bodyBytes;
    this.#leftBytes = Math.min(
      MAX_FRAMING_BYTES,
      this.#leftBytes - framing + added,
    );
    return this.#leftBytes >= 0;
  }
}

/**
 * Stops reading until the next turn of the event loop. Otherwise up to 32 reads of a fast
 * connection follow one another.
 */
function pauseForOneTurn(socket: Socket): void {
  socket.pause();
  setImmediate(() => {
    socket.resume();
  });
}

/**
 * Applies a `FramingLimit` to the response to a request, as long as it uses its connection.
 * Many small chunks do not keep other connections waiting.
 *
 * @param req - the request, before it has a connection
 * @param bodyProgress - returns how much of the body has arrived so far
 * @param onExceeded - called when the limit is exceeded; ends the exchange
 */
export function limitFraming(
  req: ClientRequest,
  bodyProgress: () => BodyProgress,
  onExceeded: (err: InvalidResponseError) => void,
): void {
  const watch = (socket: Socket): void => {
    const limit = new FramingLimit();
    let chunksBefore = 0;
    // Called after the HTTP parser has read the data.
    const onData = (data: Buffer): void => {
      const { bytes, chunks } = bodyProgress();
      if (chunks - chunksBefore > MAX_CHUNKS_PER_READ) {
        pauseForOneTurn(socket);
      }
      chunksBefore = chunks;
      if (!limit.onRead(data.length, bytes)) {
        onExceeded(
          new InvalidResponseError(
            'framing',
            'too many bytes outside the body of the response',
          ),
        );
      }
    };
    socket.on('data', onData);
    req.once('close', () => {
      socket.off('data', onData);
    });
  };
  req.once('socket', watch);
}
