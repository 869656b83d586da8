import type { BufferBudget } from './BufferBudget.js';

const NO_BYTES = Buffer.alloc(0);
const MIN_CAPACITY = 1024;
/** Size up to which a piece of memory grows; more bytes are kept in further pieces. */
const MAX_GROWN_BYTES = 64 * 1024;

/**
 * Collects bytes in a few pieces of memory.
 *
 * Small chunks need no objects of their own, which take much more memory than their bytes.
 * The capacity of the first piece doubles, so that the work for each byte is constant. Large
 * ones would leave as much memory behind as they occupy until it is collected, so that
 * further pieces have a fixed size.
 */
export class GrowingBuffer {
  readonly #full: Buffer[] = [];
  #last: Buffer = NO_BYTES;
  #lastLength = 0;
  /** The piece that follows the last one; null until that is full. */
  #next: Buffer | null = null;
  #length = 0;
  #capacity = 0;

  /**
   * @param budget - what the capacity is taken from
   * @param expectedBytes - capacity that is not exceeded without need; infinite if unknown
   */
  constructor(
    private readonly budget: BufferBudget,
    private readonly expectedBytes = Infinity,
  ) {}

  /** Number of collected bytes. */
  get length(): number {
    return this.#length;
  }

  /**
   * Adds a chunk.
   *
   * @returns false if the budget has no room for it; the chunk is not added then
   */
  append(chunk: Buffer): boolean {
    const room = this.#last.length - this.#lastLength;
    if (chunk.length > room && !this.#extend(chunk.length - room)) {
      return false;
    }
    this.#write(chunk);
    return true;
  }

  /** The collected bytes, which stay part of the budget until they are taken. */
  get bytes(): Buffer {
    if (this.#full.length > 0) {
      this.#last = Buffer.concat(
        [...this.#full, this.#last.subarray(0, this.#lastLength)],
        this.#length,
      );
      this.#lastLength = this.#length;
      this.#full.length = 0;
      this.budget.release(this.#capacity - this.#length);
      this.#capacity = this.#length;
    }
    return this.#last.subarray(0, this.#lastLength);
  }

  /** Removes and returns the collected bytes. */
  take(): Buffer {
    const taken = this.bytes;
    this.release();
    return taken;
  }

  /** Discards the collected bytes. */
  release(): void {
    this.budget.release(this.#capacity);
    this.#full.length = 0;
    this.#last = NO_BYTES;
    this.#lastLength = 0;
    this.#length = 0;
    this.#capacity = 0;
  }

  /** Provides room for more bytes than the last piece has left. */
  #extend(missing: number): boolean {
    return this.#last.length < MAX_GROWN_BYTES
      ? this.#grow(missing)
      : this.#addPiece(missing);
  }

  #grow(missing: number): boolean {
    const capacity = this.#last.length;
    const doubled = Math.max(2 * capacity, MIN_CAPACITY);
    const next = Math.max(
      capacity + missing,
      Math.min(doubled, this.expectedBytes),
    );
    if (!this.#reserve(next - capacity)) {
      return false;
    }
    const bytes = Buffer.allocUnsafeSlow(next);
    this.#last.copy(bytes, 0, 0, this.#lastLength);
    this.#last = bytes;
    return true;
  }

  /** Adds a piece for what the last one has no room for. */
  #addPiece(missing: number): boolean {
    const left = this.expectedBytes - this.#capacity;
    const size = Math.max(missing, Math.min(MAX_GROWN_BYTES, left));
    if (!this.#reserve(size)) {
      return false;
    }
    this.#next = Buffer.allocUnsafeSlow(size);
    return true;
  }

  #write(chunk: Buffer): void {
    const written = chunk.copy(this.#last, this.#lastLength);
    this.#lastLength += written;
    this.#length += written;
    if (this.#next) {
      this.#full.push(this.#last);
      this.#last = this.#next;
      this.#next = null;
      this.#lastLength = 0;
      this.#write(chunk.subarray(written));
    }
  }

  #reserve(bytes: number): boolean {
    if (!this.budget.take(bytes)) {
      return false;
    }
    this.#capacity += bytes;
    return true;
  }
}
