import murmurhash from 'murmurhash';
import type { PromptPart } from '@jujubecroft/types';

/**
 * Share of a replica's cache assumed to hold prompt parts of this instance's
 * requests; the rest is used by other instances.
 */
const OWN_CACHE_SHARE = 0.5;
/** Parts are taken together until they have this many tokens. */
const MIN_PREFIX_TOKENS = 64;
/** Maximum number of prefixes of one prompt; what follows the last counts as not cached. */
const MAX_PREFIXES = 128;
/** Maximum number of prefixes that are kept for one replica. */
const MAX_KEPT_PREFIXES = 1024;

/** The beginning of a prompt up to the end of one of its parts. */
export interface PromptPrefix {
  /**
   * Hash of the ids of all parts up to the end. Two prefixes with the same hash only lead to
   * a wrong estimate.
   */
  readonly hash: number;
  /** Tokens since the end of the prefix before it. */
  readonly tokens: number;
}

/**
 * Divides a prompt into prefixes. Where they end follows from the parts before, so that
 * prompts which begin alike have the same prefixes.
 *
 * @param parts - parts of the prompt
 * @returns the shortest prefix first; the effort grows with the length of the ids only
 */
export function prefixesOf(
  parts: readonly PromptPart[],
): readonly PromptPrefix[] {
  const prefixes: PromptPrefix[] = [];
  let hash = 0;
  let tokens = 0;
  for (const [index, part] of parts.entries()) {
    if (prefixes.length === MAX_PREFIXES) {
      break;
    }
    // The length keeps ids apart that are equal when they are joined.
    hash = murmurhash.v3(`${part.id.length}:${part.id}`, hash);
    tokens += part.tokens;
    if (tokens >= MIN_PREFIX_TOKENS || index === parts.length - 1) {
      prefixes.push({ hash, tokens });
      tokens = 0;
    }
  }
  return prefixes;
}

/**
 * Estimates which prompt parts a replica has cached, from the prompts sent
 * there.
 *
 * A cached part is usable only if all parts before it are cached too, so prefixes are kept
 * instead of parts. The least recently used ones are evicted first, as on the replica.
 */
export class PromptCacheEstimate {
  readonly #tokensByHash = new Map<number, number>();
  #tokens = 0;
  readonly #maxTokens: number;

  /** @param capacityTokens - size of the replica's cache, in tokens */
  constructor(capacityTokens: number) {
    this.#maxTokens = OWN_CACHE_SHARE * capacityTokens;
  }

  /** Number of prefixes that are kept. */
  get size(): number {
    return this.#tokensByHash.size;
  }

  /**
   * Estimates how much of a prompt the replica has cached.
   *
   * @param prefixes - prefixes of the prompt; computed once for all replicas
   * @returns the tokens at the start of the prompt that need not be read again
   */
  cachedTokens(prefixes: readonly PromptPrefix[]): number {
    const missing = prefixes.findIndex(
      ({ hash }) => !this.#tokensByHash.has(hash),
    );
    const kept = missing === -1 ? prefixes : prefixes.slice(0, missing);
    return kept.reduce((sum, { tokens }) => sum + tokens, 0);
  }

  /** Records that the replica read a prompt. */
  onRead(parts: readonly PromptPart[]): void {
    prefixesOf(parts).forEach(({ hash, tokens }) => {
      this.#tokens -= this.#tokensByHash.get(hash) ?? 0;
      // Re-inserted, so that the map stays in order of use.
      this.#tokensByHash.delete(hash);
      this.#tokensByHash.set(hash, tokens);
      this.#tokens += tokens;
    });
    this.#evict();
  }

  #evict(): void {
    for (const [hash, tokens] of this.#tokensByHash) {
      if (
        this.#tokens <= this.#maxTokens &&
        this.#tokensByHash.size <= MAX_KEPT_PREFIXES
      ) {
        return;
      }
      this.#tokens -= tokens;
      this.#tokensByHash.delete(hash);
    }
  }
}
