import type { PromptPart } from '@jujubecroft/types';

/**
 * Share of a replica's cache assumed to hold prompt parts of this instance's
 * requests; the rest is used by other instances.
 */
const OWN_CACHE_SHARE = 0.5;

/**
 * Estimates which prompt parts a replica has cached, from the prompts sent
 * there.
 *
 * A cached part is usable only if all parts before it are cached too, so parts
 * are identified by their whole path from the start of the prompt. The least
 * recently used parts are evicted first, as on the replica.
 */
export class PromptCacheEstimate {
  readonly #tokensByPath = new Map<string, number>();
  #tokens = 0;
  readonly #maxTokens: number;

  /** @param capacityTokens - size of the replica's cache, in tokens */
  constructor(capacityTokens: number) {
    this.#maxTokens = OWN_CACHE_SHARE * capacityTokens;
  }

  /**
   * Estimates how much of a prompt the replica has cached.
   *
   * @param parts - parts of the prompt
   * @param paths - paths of these parts; computed once for all replicas
   * @returns the tokens at the start of the prompt that need not be read again
   */
  cachedTokens(parts: readonly PromptPart[], paths: readonly string[]): number {
    const missing = paths.findIndex(path => !this.#tokensByPath.has(path));
    const kept = missing === -1 ? parts : parts.slice(0, missing);
    return kept.reduce((sum, { tokens }) => sum + tokens, 0);
  }

  /** Records that the replica read a prompt. */
  onRead(parts: readonly PromptPart[]): void {
    prefixPathsOf(parts).forEach((path, index) => {
      const tokens = parts[index]?.tokens ?? 0;
      this.#tokens -= this.#tokensByPath.get(path) ?? 0;
      // Re-inserted, so that the map stays in order of use.
      this.#tokensByPath.delete(path);
      this.#tokensByPath.set(path, tokens);
      this.#tokens += tokens;
    });
    this.#evict();
  }

  #evict(): void {
    const oldest = this.#tokensByPath.keys();
    while (this.#tokens > this.#maxTokens) {
      const path = oldest.next().value;
      if (path === undefined) {
        return;
      }
      this.#tokens -= this.#tokensByPath.get(path) ?? 0;
      this.#tokensByPath.delete(path);
    }
  }
}

/**
 * Returns for each part a path that includes the ids of all parts before it.
 */
export function prefixPathsOf(parts: readonly PromptPart[]): readonly string[] {
  return parts.map((_, index) =>
    parts
      .slice(0, index + 1)
      .map(({ id }) => id)
      .join('/'),
  );
}
