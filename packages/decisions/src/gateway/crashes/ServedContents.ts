import type { RequestFingerprint } from '@jujubecroft/types';

/**
 * Most contents that are remembered; the least recently served are dropped
 * first.
 */
const MAX_CONTENTS = 4096;

/**
 * Contents of requests that were served recently, and so don't crash replicas.
 */
export class ServedContents {
  // A Set iterates in insertion order, so its first member is the least
  // recently served.
  readonly #contents = new Set<RequestFingerprint>();

  /** Records that a replica ran a request with this content to its end. */
  add(content: RequestFingerprint): void {
    this.#contents.delete(content);
    this.#contents.add(content);
    if (this.#contents.size > MAX_CONTENTS) {
      const [oldest] = this.#contents;
      if (oldest !== undefined) {
        this.#contents.delete(oldest);
      }
    }
  }

  has(content: RequestFingerprint): boolean {
    return this.#contents.has(content);
  }
}
