import { z } from 'zod';

const kvBlobSchema = z.object({
  conversation: z.number(),
  tokens: z.number().int().nonnegative(),
});

/** KV cache of one sequence, reduced to what it stands for. */
export type KvBlob = z.infer<typeof kvBlobSchema>;

const MAX_BLOBS = 256;

function trim(map: Map<string, KvBlob>): void {
  const [oldest] = map.keys();
  if (map.size > MAX_BLOBS && oldest !== undefined) {
    map.delete(oldest);
  }
}

/** Exported and imported KV caches in bounded memory. */
export class KvStore {
  readonly #own = new Map<string, KvBlob>();
  readonly #imported = new Map<string, KvBlob>();
  #handles = 0;

  remember(id: string, blob: KvBlob): void {
    this.#own.set(id, blob);
    trim(this.#own);
  }

  export(id: string): KvBlob | undefined {
    return this.#own.get(id);
  }

  /** @returns a handle for the next chat request, or undefined for a bad blob */
  import(body: unknown): string | undefined {
    const parsed = kvBlobSchema.safeParse(body);
    if (!parsed.success) {
      return undefined;
    }
    this.#handles += 1;
    const handle = `kv-${this.#handles}`;
    this.#imported.set(handle, parsed.data);
    trim(this.#imported);
    return handle;
  }

  /** Whether a handle holds the cache of this conversation. */
  matches(handle: string | undefined, conversation: number): boolean {
    const blob = handle === undefined ? undefined : this.#imported.get(handle);
    return blob?.conversation === conversation;
  }
}
