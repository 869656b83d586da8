import type { BufferBudget } from './BufferBudget.js';

const NO_BYTES = Buffer.alloc(0);
const MIN_CAPACITY = 1024;

/**
 * Collects bytes in one piece of memory.
 *
 * Its capacity doubles, so that the work for each byte is constant, and small chunks need no
 * objects of their own, which take much more memory than their bytes.
 */
export class GrowingBuffer {
  #bytes = NO_BYTES;
  #length = 0;

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
    const length = this.#length + chunk.length;
    if (!this.#ensureCapacity(length)) {
      return false;
    }
    chunk.copy(this.#bytes, this.#length);
    this.#length = length;
    return true;
  }

  /** The collected bytes, which stay part of the budget until they are taken. */
  get bytes(): Buffer {
    return this.#bytes.subarray(0, this.#length);
  }

  /** Removes and returns the collected bytes. */
  take(): Buffer {
    const taken = this.bytes;
    this.budget.release(this.#bytes.length);
    this.#bytes = NO_BYTES;
    this.#length = 0;
    return taken;
  }

  #ensureCapacity(length: number): boolean {
    const capacity = this.#bytes.length;
    if (length <= capacity) {
      return true;
    }
    const doubled = Math.max(2 * capacity, MIN_CAPACITY);
    const next = Math.max(length, Math.min(doubled, this.expectedBytes));
    if (!this.budget.take(next - capacity)) {
      return false;
    }
    const bytes = Buffer.allocUnsafeSlow(next);
    this.#bytes.copy(bytes, 0, 0, this.#length);
    this.#bytes = bytes;
    return true;
  }
}
