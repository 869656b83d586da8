/** A change of the prefix cache, as engines publish it. */
export interface CacheEvent {
  readonly kind: 'evicted' | 'stored';
  readonly prefixHash: number;
  readonly tokens: number;
}

/** Prompt prefixes in bounded memory; the least recently used goes first. */
export class PrefixCache {
  readonly #entries = new Map<number, number>();
  #tokens = 0;
  #events: CacheEvent[] = [];

  constructor(private readonly capacity: number) {}

  /**
   * Looks a prefix up and stores it when it is missing.
   *
   * @param prefixHash - identity of the prefix
   * @param tokens - its length
   * @returns tokens that need no prefill; 0 on a miss
   */
  use(prefixHash: number, tokens: number): number {
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

  /** @returns changes since the last call */
  takeEvents(): readonly CacheEvent[] {
    const events = this.#events;
    this.#events = [];
    return events;
  }

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
