const TAB = 0x09;
const LF = 0x0a;
const CR = 0x0d;
const SPACE = 0x20;
const COLON = 0x3a;
const DEL = 0x7f;
const BYTE_VALUES = 256;

/** Beginning of a status line, in which a zero stands for any digit. */
const STATUS_LINE_PATTERN = Buffer.from('HTTP/0.0 000');
const STATUS_INDEX = STATUS_LINE_PATTERN.lastIndexOf(SPACE) + 1;
const ZERO = 0x30;
const NINE = 0x39;
const MIN_INTERIM_STATUS = 100;
const SWITCHING_PROTOCOLS = 101;
const MIN_FINAL_STATUS = 200;

/** For each value of a byte, 1 if it may occur in a part of a head, otherwise 0. */
type ByteSet = Uint8Array;

const byteSet = (contains: (byte: number) => boolean): ByteSet =>
  Uint8Array.from({ length: BYTE_VALUES }, (_, byte) => Number(contains(byte)));

const TOKEN_PATTERN = /^[\w!#$%&'*+.^`|~-]$/;
/** Characters of the name of a header (RFC 9110, section 5.6.2). */
const TOKEN_BYTES = byteSet(byte =>
  TOKEN_PATTERN.test(String.fromCharCode(byte)),
);
/** Characters of values and of reason phrases (RFC 9110, section 5.5; RFC 9112, section 4). */
const TEXT_BYTES = byteSet(
  byte => byte === TAB || (byte >= SPACE && byte !== DEL),
);

const isInterim = (status: number): boolean =>
  status >= MIN_INTERIM_STATUS &&
  status < MIN_FINAL_STATUS &&
  status !== SWITCHING_PROTOCOLS;

/** Part of a response that the next byte belongs to. */
type Part =
  /** What follows the head of a final response; it is not checked here. */
  | 'body'
  /** The line feed of the empty line that ends a head. */
  | 'headEnd'
  /** The line feed of any other line. */
  | 'lineEnd'
  /** The first byte of a line after the status line. */
  | 'lineStart'
  | 'name'
  /** The line feed of an empty line before the status line. */
  | 'skippedLineEnd'
  | 'statusLine'
  /** A value, or the reason phrase. */
  | 'text';

/**
 * Checks the bytes of a response, up to its body, against the grammar of heads (RFC 9112,
 * sections 2.1, 4 and 5): each line ends with CRLF, each name is a token that a colon follows,
 * and no line continues another one. Control characters occur nowhere.
 *
 * How strictly the HTTP parser of Node.js reads depends on the release and on how it was
 * built; a lenient one takes malformed lines for headers, or the rest of a head for the body.
 */
export class HeadGrammar {
  #part: Part = 'statusLine';
  /** Number of bytes of the status line that have been read, up to the status. */
  #statusLineBytes = 0;
  #status = 0;

  /** Whether the head of the final response is complete and well-formed. */
  get isComplete(): boolean {
    return this.#part === 'body';
  }

  /**
   * Checks the next bytes of the connection.
   *
   * @param data - any number of bytes
   * @returns false if they belong to no well-formed head
   */
  accepts(data: Uint8Array): boolean {
    let part = this.#part;
    for (let index = 0; index < data.length && part !== 'body'; index += 1) {
      const byte = data[index] ?? 0;
      const next = this.#partAfter(part, byte);
      if (next === null) {
        return false;
      }
      part = next;
    }
    this.#part = part;
    return true;
  }

  /** Returns the part that the byte after this one belongs to; null if this one is not allowed. */
  #partAfter(part: Part, byte: number): Part | null {
    switch (part) {
      case 'statusLine':
        return this.#afterStatusLine(byte);
      case 'text':
        if (byte === CR) {
          return 'lineEnd';
        }
        return TEXT_BYTES[byte] ? 'text' : null;
      case 'lineStart':
        if (byte === CR) {
          return 'headEnd';
        }
        return TOKEN_BYTES[byte] ? 'name' : null;
      case 'name':
        if (byte === COLON) {
          return 'text';
        }
        return TOKEN_BYTES[byte] ? 'name' : null;
      case 'lineEnd':
        return byte === LF ? 'lineStart' : null;
      case 'skippedLineEnd':
        return byte === LF ? 'statusLine' : null;
      case 'headEnd':
        return byte === LF ? this.#afterHead() : null;
      case 'body':
        return 'body';
    }
  }

  #afterStatusLine(byte: number): Part | null {
    const index = this.#statusLineBytes;
    if (index === STATUS_LINE_PATTERN.length) {
      if (byte === CR) {
        return 'lineEnd';
      }
      return byte === SPACE ? 'text' : null;
    }
    if (index === 0 && byte === CR) {
      return 'skippedLineEnd';
    }
    const expected = STATUS_LINE_PATTERN[index];
    const isExpected =
      expected === ZERO ? byte >= ZERO && byte <= NINE : byte === expected;
    if (!isExpected) {
      return null;
    }
    if (index >= STATUS_INDEX) {
      this.#status = this.#status * 10 + (byte - ZERO);
    }
    this.#statusLineBytes += 1;
    return 'statusLine';
  }

  /** Another head follows that of an interim response. */
  #afterHead(): Part {
    if (!isInterim(this.#status)) {
      return 'body';
    }
    this.#statusLineBytes = 0;
    this.#status = 0;
    return 'statusLine';
  }
}
