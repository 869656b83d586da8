const LF = 10;
const CR = 13;
const COLON = 58;

/** Whether a chunk ends with a blank line after another line. */
function endsWithBlankLine(chunk: Buffer): boolean {
  const { length } = chunk;
  return length > 1 && chunk[length - 1] === LF && chunk[length - 2] === LF;
}

/**
 * Tracks whether a stream of server-sent events stands between two events.
 *
 * An event ends with a blank line. Comment lines belong to no event. Lines end
 * with LF, CR or both.
 */
export class SseBoundary {
  #isInsideEvent = false;
  #isLineStart = true;
  #isBlankLine = false;
  #followsCr = false;

  /** Whether an event has begun and not ended. */
  get isInsideEvent(): boolean {
    return this.#isInsideEvent;
  }

  /**
   * Reads the next bytes of the stream.
   *
   * @returns number of bytes up to the end of the last blank line; 0 if none ends in them
   */
  push(chunk: Buffer): number {
    if (endsWithBlankLine(chunk)) {
      this.#isInsideEvent = false;
      this.#isLineStart = true;
      this.#isBlankLine = true;
      this.#followsCr = false;
      return chunk.length;
    }
    return this.#scan(chunk);
  }

  /** Reads byte by byte, in local variables since a stream may be long. */
  #scan(chunk: Buffer): number {
    let isLineStart = this.#isLineStart;
    let isBlankLine = this.#isBlankLine;
    let followsCr = this.#followsCr;
    let blankLineEnd = 0;
    for (let index = 0; index < chunk.length; index += 1) {
      const byte = chunk[index];
      const completesCrLf = byte === LF && followsCr;
      followsCr = byte === CR;
      if (!completesCrLf) {
        const endsLine = byte === LF || followsCr;
        if (isLineStart && byte !== COLON) {
          this.#isInsideEvent = !endsLine;
        }
        isBlankLine = isLineStart && endsLine;
        isLineStart = endsLine;
      }
      if (isBlankLine) {
        blankLineEnd = index + 1;
      }
    }
    this.#isLineStart = isLineStart;
    this.#isBlankLine = isBlankLine;
    this.#followsCr = followsCr;
    return blankLineEnd;
  }
}
