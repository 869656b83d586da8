import { request } from 'undici';
import { z } from 'zod';

const addressesSchema = z.object({
  keep_seconds: z.number(),
  addresses: z.array(z.object({ url: z.string() })),
});

const MS_PER_SECOND = 1000;
const OK = 200;

/** Client-side cache of instance addresses, refreshed from the instances themselves. */
export class AddressBook {
  #urls: readonly string[];
  #expiresMs = 0;
  #rotation = 0;

  /** @param entryUrls - initial URLs, also the fallback when no learned address answers */
  constructor(private readonly entryUrls: readonly string[]) {
    this.#urls = entryUrls;
  }

  /**
   * Refreshes the addresses if they have expired.
   *
   * @returns URLs in the order to try; each call starts at the next one, to spread load
   */
  async urlsToTry(): Promise<readonly string[]> {
    if (Date.now() >= this.#expiresMs) {
      await this.#refresh();
    }
    this.#rotation += 1;
    const start = this.#rotation % this.#urls.length;
    return [...this.#urls.slice(start), ...this.#urls.slice(0, start)];
  }

  /** Forces a refresh at the next use, because an address did not work. */
  invalidate(): void {
    this.#expiresMs = 0;
  }

  async #refresh(): Promise<void> {
    this.#expiresMs = Date.now() + MS_PER_SECOND;
    for (const url of [...this.#urls, ...this.entryUrls]) {
      if (await this.#fetchFrom(url)) {
        return;
      }
    }
  }

  async #fetchFrom(url: string): Promise<boolean> {
    try {
      const res = await request(`${url}/v1/addresses`);
      const body = await res.body.json();
      if (res.statusCode !== OK) {
        return false;
      }
      const reply = addressesSchema.parse(body);
      if (reply.addresses.length > 0) {
        this.#urls = reply.addresses.map(address => address.url);
        this.#expiresMs = Date.now() + reply.keep_seconds * MS_PER_SECOND;
      }
      return true;
    } catch {
      return false;
    }
  }
}
