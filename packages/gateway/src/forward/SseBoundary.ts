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
  #followsCr = false;

  /** Whether an event has begun and not ended. */
  get isInsideEvent(): boolean {
    return this.#isInsideEvent;
  }

  /** Reads the next bytes of the stream. */
  push(chunk: Buffer): void {
    if (endsWithBlankLine(chunk)) {
      this.#isInsideEvent = false;
      this.#isLineStart = true;
      this.#followsCr = false;
      return;
    }
    chunk.forEach(byte => {
      this.#read(byte);
    });
  }

  #read(byte: number): void {
    const completesCrLf = byte === LF && this.#followsCr;
    this.#followsCr = byte === CR;
    if (completesCrLf) {
      return;
    }
    const endsLine = byte === LF || byte === CR;
    if (this.#isLineStart && byte !== COLON) {
      this.#isInsideEvent = !endsLine;
    }
    this.#isLineStart = endsLine;
  }
}
