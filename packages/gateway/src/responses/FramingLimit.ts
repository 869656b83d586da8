import type { ClientRequest } from 'node:http';
import type { Socket } from 'node:net';

import { InvalidResponseError } from './InvalidResponseError.js';

/** Limit for the heads of a response; larger than that of the HTTP parser for one head. */
const MAX_FRAMING_BYTES = 128 * 1024;
/** Bytes of framing that each byte of the body allows; chunks of one byte need five. */
const FRAMING_PER_BODY_BYTE = 16;

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
      this.#leftBytes - framing + FRAMING_PER_BODY_BYTE * added,
    );
    return this.#leftBytes >= 0;
  }
}

/**
 * Applies a `FramingLimit` to the response to a request, as long as it uses its connection.
 *
 * @param req - the request, before it has a connection
 * @param bodyBytes - returns the size of the body that has arrived so far
 * @param onExceeded - called when the limit is exceeded; ends the exchange
 */
export function limitFraming(
  req: ClientRequest,
  bodyBytes: () => number,
  onExceeded: (err: InvalidResponseError) => void,
): void {
  const watch = (socket: Socket): void => {
    const limit = new FramingLimit();
    // Called after the HTTP parser has read the chunk.
    const onData = (chunk: Buffer): void => {
      if (!limit.onRead(chunk.length, bodyBytes())) {
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
