/** Bytes that the incomplete responses of one instance may occupy together. */
const MAX_BYTES = 32 * 1024 * 1024;

/** Shares the memory for buffered bytes among all responses, or requests, of one instance. */
export class BufferBudget {
  #usedBytes = 0;

  /** @param maxBytes - limit for all of them together */
  constructor(private readonly maxBytes = MAX_BYTES) {}

  get usedBytes(): number {
    return this.#usedBytes;
  }

  /** Whether there are as many bytes left. */
  has(bytes: number): boolean {
    return this.#usedBytes + bytes <= this.maxBytes;
  }

  /**
   * Takes bytes from the budget.
   *
   * @returns false if there are not enough, and none are taken
   */
  take(bytes: number): boolean {
    if (!this.has(bytes)) {
      return false;
    }
    this.#usedBytes += bytes;
    return true;
  }

  /** Returns bytes that were taken. */
  release(bytes: number): void {
    this.#usedBytes -= bytes;
  }
}
