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

  /** @param budget - what the capacity is taken from */
  constructor(private readonly budget: BufferBudget) {}

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

  /** Removes and returns the collected bytes. */
  take(): Buffer {
    const taken = this.#bytes.subarray(0, this.#length);
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
    const next = Math.max(length, 2 * capacity, MIN_CAPACITY);
    if (!this.budget.take(next - capacity)) {
      return false;
    }
    const bytes = Buffer.allocUnsafeSlow(next);
    this.#bytes.copy(bytes, 0, 0, this.#length);
    this.#bytes = bytes;
    return true;
  }
}
