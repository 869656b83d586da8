const END_OF_HEAD = Buffer.from('\r\n\r\n');
const CR = 13;
const LF = 10;

/**
 * Advances by one byte towards the end of a head.
 *
 * @param matched - number of bytes of `END_OF_HEAD` that the input ended with
 * @param byte - the next byte of the input
 * @returns the same number after the byte
 */
function advance(matched: number, byte: number): number {
  // The second half of an empty line may be the first half of the next one.
  const from = matched === END_OF_HEAD.length ? matched / 2 : matched;
  if (byte === CR) {
    return from === END_OF_HEAD.length / 2 ? from + 1 : 1;
  }
  return byte === LF && from % 2 === 1 ? from + 1 : 0;
}

/**
 * Finds the places after which the next request of a connection may begin: after empty
 * lines, which end heads and chunked bodies.
 *
 * A piece of input that ends at the first such place ends one head or one chunked body at
 * most, a longer one not many more.
 */
export class HeadBoundary {
  /** How many bytes of `END_OF_HEAD` end the input that was passed. */
  #matched = 0;

  /**
   * Returns the length of the next piece.
   *
   * @param input - bytes that follow those passed, not empty
   * @param least - number of bytes that the piece should have
   * @returns number of bytes up to the first boundary with as many, or to the last one; all
   *   if there is none
   */
  next(input: Buffer, least = 1): number {
    const overlapping = this.#overlappingEnd(input);
    if (overlapping >= least) {
      return overlapping;
    }
    const from = Math.max(least - END_OF_HEAD.length, 0);
    const first = input.indexOf(END_OF_HEAD, from);
    const index = first === -1 ? input.lastIndexOf(END_OF_HEAD) : first;
    return index === -1 ? input.length : index + END_OF_HEAD.length;
  }

  /** Whether the input that was passed ends with an empty line. */
  get isReached(): boolean {
    return this.#matched === END_OF_HEAD.length;
  }

  /** Remembers how a piece that was passed ends. */
  onPassed(piece: Buffer): void {
    const tail = piece.subarray(1 - END_OF_HEAD.length);
    this.#matched = tail.reduce(
      advance,
      tail.length < END_OF_HEAD.length - 1 ? this.#matched : 0,
    );
    if (piece.subarray(-END_OF_HEAD.length).equals(END_OF_HEAD)) {
      this.#matched = END_OF_HEAD.length;
    }
  }

  /** End of an empty line that began in the input that was passed; 0 for none. */
  #overlappingEnd(input: Buffer): number {
    const rest = END_OF_HEAD.length - this.#matched;
    const begins = END_OF_HEAD.subarray(this.#matched);
    return this.#matched > 0 &&
      rest > 0 &&
      input.subarray(0, rest).equals(begins)
      ? rest
      : 0;
  }
}
