import type { PromptPart } from '@jujubecroft/types';

/**
 * Share of a replica's cache that this instance counts on for its own requests'
 * parts; the others fill the rest.
 */
const COUNTED_SHARE = 0.5;

/**
 * The prompt parts that a replica probably keeps, by what was sent there.
 *
 * A part is of use only if all parts before it are kept too, so parts are
 * remembered by their whole path. The least recently used go first, as at the
 * replica.
 */
export class PromptMemory {
  readonly #parts = new Map<string, number>();
  #tokens = 0;
  readonly #maxTokens: number;

  /** @param capacityTokens - size of the replica's cache */
  constructor(capacityTokens: number) {
    this.#maxTokens = COUNTED_SHARE * capacityTokens;
  }

  /**
   * @param parts - of a prompt
   * @param paths - of the same parts; taken once for all replicas
   * @returns tokens at the front of the prompt that need not be read again
   */
  cachedTokens(parts: readonly PromptPart[], paths: readonly string[]): number {
    const missing = paths.findIndex(path => !this.#parts.has(path));
    const kept = missing === -1 ? parts : parts.slice(0, missing);
    return kept.reduce((sum, { tokens }) => sum + tokens, 0);
  }

  /** Notes that the replica read a prompt. */
  onRead(parts: readonly PromptPart[]): void {
    pathsOf(parts).forEach((path, index) => {
      const tokens = parts[index]?.tokens ?? 0;
      this.#tokens -= this.#parts.get(path) ?? 0;
      // Re-inserted, so that the map stays in order of use.
      this.#parts.delete(path);
      this.#parts.set(path, tokens);
      this.#tokens += tokens;
    });
    this.#evict();
  }

  #evict(): void {
    const oldest = this.#parts.keys();
    while (this.#tokens > this.#maxTokens) {
      const path = oldest.next().value;
      if (path === undefined) {
        return;
      }
      this.#tokens -= this.#parts.get(path) ?? 0;
      this.#parts.delete(path);
    }
  }
}

/** Names of parts that tell what stands before them as well. */
export function pathsOf(parts: readonly PromptPart[]): readonly string[] {
  return parts.map((_, index) =>
    parts
      .slice(0, index + 1)
      .map(({ id }) => id)
      .join('/'),
  );
}
