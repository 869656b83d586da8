/** A change of the prefix cache, in the form that the engine publishes. */
export interface CacheEvent {
  readonly kind: 'evicted' | 'stored';
  readonly prefixHash: number;
  readonly tokens: number;
}

/** LRU cache of prompt prefixes, bounded by their total number of tokens. */
export class PrefixCache {
  readonly #entries = new Map<number, number>();
  #tokens = 0;
  #events: CacheEvent[] = [];

  constructor(private readonly capacity: number) {}

  /**
   * Looks up a prefix, and stores it on a miss unless it exceeds the capacity.
   *
   * @param prefixHash - hash that identifies the prefix
   * @param tokens - length of the prefix
   * @returns number of tokens that need no prefill; 0 on a miss
   */
  lookUp(prefixHash: number, tokens: number): number {
    const cached = this.#entries.get(prefixHash);
    if (cached !== undefined) {
      this.#entries.delete(prefixHash);
      this.#entries.set(prefixHash, cached);
      return Math.min(cached, tokens);
    }
    if (tokens > 0 && tokens <= this.capacity) {
      this.#store(prefixHash, tokens);
    }
    return 0;
  }

  /**
   * @returns the stored and evicted prefixes since the last call, oldest first
   */
  drainEvents(): readonly CacheEvent[] {
    const events = this.#events;
    this.#events = [];
    return events;
  }

  /** Removes all prefixes without publishing events for them. */
  clear(): void {
    this.#entries.clear();
    this.#tokens = 0;
  }

  #store(prefixHash: number, tokens: number): void {
    while (this.#tokens + tokens > this.capacity) {
      this.#evictOldest();
    }
    this.#entries.set(prefixHash, tokens);
    this.#tokens += tokens;
    this.#events.push({ kind: 'stored', prefixHash, tokens });
  }

  #evictOldest(): void {
    const [oldest] = this.#entries;
    if (!oldest) {
      return;
    }
    const [prefixHash, tokens] = oldest;
    this.#entries.delete(prefixHash);
    this.#tokens -= tokens;
    this.#events.push({ kind: 'evicted', prefixHash, tokens });
  }
}
