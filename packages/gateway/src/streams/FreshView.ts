import type { Timers } from '../ports/Timers.js';

/** Time that a confirmation may take by default, in milliseconds. */
const DEFAULT_TIMEOUT_MS = 400;

/**
 * Confirms that what is known from the store is at least as recent as the call.
 *
 * A read that was already in progress doesn't count, since it may have been answered
 * before. Calls meanwhile share the next one.
 */
export class FreshView {
  #running: Promise<boolean> | null = null;
  #next: Promise<boolean> | null = null;

  /**
   * @param timers - timers of the instance
   * @param read - reads from the store; the result tells whether it answered
   * @param timeoutMs - time that a confirmation may take, in milliseconds
   */
  constructor(
    private readonly timers: Timers,
    private readonly read: () => Promise<boolean>,
    private readonly timeoutMs = DEFAULT_TIMEOUT_MS,
  ) {}

  /** @returns whether the store answered a read that began after the call, in time */
  async confirm(): Promise<boolean> {
    const confirmed = this.#running
      ? (this.#next ??= this.#running.then(() => {
          this.#next = null;
          return this.#start();
        }))
      : this.#start();
    return Promise.race([confirmed, this.#timeOut()]);
  }

  /** @returns false once the time is used up and what has arrived by then is read */
  async #timeOut(): Promise<false> {
    await this.timers.sleep(this.timeoutMs);
    // Timers fire before reads in a turn of the event loop, so that a delay of this process
    // would otherwise look like silence of the store.
    await this.timers.nextTurn();
    return false;
  }

  /** Reads once more after a failure, which may be that of a kept connection. */
  async #readAgain(): Promise<boolean> {
    return (await this.read()) || this.read();
  }

  async #start(): Promise<boolean> {
    const running = this.#readAgain();
    this.#running = running;
    try {
      return await running;
    } finally {
      if (this.#running === running) {
        this.#running = null;
      }
    }
  }
}
