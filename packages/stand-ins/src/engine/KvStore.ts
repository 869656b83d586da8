import { z } from 'zod';

const kvBlobSchema = z.object({
  conversation: z.number(),
  tokens: z.number().int().nonnegative(),
});

/** Stands for the KV cache of one sequence; contains no tensors. */
export type KvBlob = z.infer<typeof kvBlobSchema>;

const MAX_BLOBS = 256;

function evictOldest(map: Map<string, KvBlob>): void {
  const [oldest] = map.keys();
  if (map.size > MAX_BLOBS && oldest !== undefined) {
    map.delete(oldest);
  }
}

/**
 * Holds up to 256 exportable and 256 imported KV caches; the oldest is evicted
 * first.
 */
export class KvStore {
  readonly #exportable = new Map<string, KvBlob>();
  readonly #imported = new Map<string, KvBlob>();
  #handleCount = 0;

  /** Keeps the KV cache of a sequence for export. */
  save(id: string, blob: KvBlob): void {
    this.#exportable.set(id, blob);
    evictOldest(this.#exportable);
  }

  /** @returns the KV cache of a sequence, or undefined if unknown or evicted */
  export(id: string): KvBlob | undefined {
    return this.#exportable.get(id);
  }

  /**
   * Imports a KV cache exported by another engine.
   *
   * @param body - unvalidated JSON body
   * @returns handle for a chat request's `kv_handle`; undefined if the body is
   *   not a KV cache
   */
  import(body: unknown): string | undefined {
    const parsed = kvBlobSchema.safeParse(body);
    if (!parsed.success) {
      return undefined;
    }
    this.#handleCount += 1;
    const handle = `kv-${this.#handleCount}`;
    this.#imported.set(handle, parsed.data);
    evictOldest(this.#imported);
    return handle;
  }

  /** Whether a handle refers to an imported cache of this conversation. */
  matches(handle: string | undefined, conversation: number): boolean {
    const blob = handle === undefined ? undefined : this.#imported.get(handle);
    return blob?.conversation === conversation;
  }
}
