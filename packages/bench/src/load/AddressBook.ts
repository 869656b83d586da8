import { request } from 'undici';
import { z } from 'zod';

const answerSchema = z.object({
  keep_seconds: z.number(),
  addresses: z.array(z.object({ url: z.string() })),
});

const MS_PER_SECOND = 1000;
const OK = 200;

/** Instance addresses as callers learn and keep them. */
export class AddressBook {
  #urls: readonly string[];
  #expiresMs = 0;
  #turn = 0;

  /** @param entryUrls - known from the start, and the way back when all else is gone */
  constructor(private readonly entryUrls: readonly string[]) {
    this.#urls = entryUrls;
  }

  /** @returns addresses to try, in order; callers spread over all of them */
  async inOrder(): Promise<readonly string[]> {
    if (Date.now() >= this.#expiresMs) {
      await this.#refresh();
    }
    this.#turn += 1;
    const start = this.#turn % this.#urls.length;
    return [...this.#urls.slice(start), ...this.#urls.slice(0, start)];
  }

  /** Asks again soon, because an address did not work. */
  distrust(): void {
    this.#expiresMs = 0;
  }

  async #refresh(): Promise<void> {
    this.#expiresMs = Date.now() + MS_PER_SECOND;
    for (const url of [...this.#urls, ...this.entryUrls]) {
      if (await this.#ask(url)) {
        return;
      }
    }
  }

  async #ask(url: string): Promise<boolean> {
    try {
      const res = await request(`${url}/v1/addresses`);
      const body = await res.body.json();
      if (res.statusCode !== OK) {
        return false;
      }
      const answer = answerSchema.parse(body);
      if (answer.addresses.length > 0) {
        this.#urls = answer.addresses.map(address => address.url);
        this.#expiresMs = Date.now() + answer.keep_seconds * MS_PER_SECOND;
      }
      return true;
    } catch {
      return false;
    }
  }
}
