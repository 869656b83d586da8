import type { EventQueue } from './EventQueue.js';

interface Call {
  readonly serviceMs: number;
  readonly onFinished: () => void;
}

/** Simulates a plain service with bounded concurrency in virtual time. */
export class SimService {
  running = 0;
  readonly #waiting: Call[] = [];

  constructor(
    private readonly events: EventQueue,
    private readonly concurrency: number,
  ) {}

  get waiting(): number {
    return this.#waiting.length;
  }

  /**
   * Runs a call for a service time, once a slot is free; calls start in order
   * of arrival.
   */
  submit(serviceMs: number, onFinished: () => void): void {
    this.#waiting.push({ serviceMs, onFinished });
    this.#startNext();
  }

  #startNext(): void {
    if (this.running >= this.concurrency) {
      return;
    }
    const call = this.#waiting.shift();
    if (!call) {
      return;
    }
    this.running += 1;
    this.events.after(call.serviceMs, () => {
      this.running -= 1;
      call.onFinished();
      this.#startNext();
    });
  }
}
