import type { PromptPartKey } from '@jujubecroft/types';

/**
 * Most parts that are remembered; the least recently served are dropped first.
 */
const MAX_PARTS = 4096;
/** Stands for a service at another instance, whose time is not known. */
const UNKNOWN_MS = -Infinity;

/** Prompt parts of requests that were served. */
export class ServedParts {
  // A Map iterates in insertion order, so its first key is the least recently served.
  readonly #servedAtMs = new Map<PromptPartKey, number>();

  /** Records that this instance has served a request with a part. */
  add(part: PromptPartKey, atMs: number): void {
    this.#servedAtMs.delete(part);
    this.#servedAtMs.set(part, atMs);
    if (this.#servedAtMs.size > MAX_PARTS) {
      const [oldest] = this.#servedAtMs.keys();
      if (oldest !== undefined) {
        this.#servedAtMs.delete(oldest);
      }
    }
  }

  /** Records that another instance has served a request with a part. */
  addRemote(part: PromptPartKey): void {
    this.add(part, this.lastOwnMs(part));
  }

  /** Whether a request with a part was served, here or elsewhere. */
  has(part: PromptPartKey): boolean {
    return this.#servedAtMs.has(part);
  }

  /**
   * When this instance last served a request with a part, on the local clock; -Infinity
   * if it never did.
   */
  lastOwnMs(part: PromptPartKey): number {
    return this.#servedAtMs.get(part) ?? UNKNOWN_MS;
  }
}
