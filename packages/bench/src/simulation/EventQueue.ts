import { Heap } from 'heap-js';

interface Scheduled {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

/**
 * Event queue with virtual time: events run in order of time, and events of the
 * same time in the order in which they were scheduled.
 */
export class EventQueue {
  #nowMs = 0;
  #lastOrder = 0;
  readonly #events = new Heap<Scheduled>(
    (a, b) => a.atMs - b.atMs || a.order - b.order,
  );

  /** Current virtual time. */
  get nowMs(): number {
    return this.#nowMs;
  }

  /** Schedules an event after a delay. */
  after(delayMs: number, run: () => void): void {
    this.at(this.#nowMs + delayMs, run);
  }

  /** Schedules an event at a virtual time. */
  at(atMs: number, run: () => void): void {
    this.#lastOrder += 1;
    this.#events.push({ atMs, order: this.#lastOrder, run });
  }

  /**
   * Schedules an event at a first time and then once per period, without end.
   */
  every(periodMs: number, firstMs: number, run: () => void): void {
    this.at(firstMs, () => {
      run();
      this.every(periodMs, this.#nowMs + periodMs, run);
    });
  }

  /** Runs all events up to and including a virtual time. */
  runUntil(endMs: number): void {
    let next = this.#events.peek();
    while (next && next.atMs <= endMs) {
      this.#events.pop();
      this.#nowMs = next.atMs;
      next.run();
      next = this.#events.peek();
    }
    this.#nowMs = endMs;
  }
}
