import { setTimeout as sleep } from 'node:timers/promises';

import { soakNow } from '../soakNow.js';

/** Times in which a replica writes nothing, while it otherwise goes on. */
export class Silence {
  #untilMs = -Infinity;

  /**
   * Begins a silence, or extends the current one.
   *
   * @param forMs - duration from now
   */
  begin(forMs: number): void {
    this.#untilMs = Math.max(this.#untilMs, soakNow() + forMs);
  }

  /** Resolves at once if the replica may write, otherwise at the end of the silence. */
  async ended(): Promise<void> {
    while (soakNow() < this.#untilMs) {
      await sleep(Math.ceil(this.#untilMs - soakNow()));
    }
  }
}
