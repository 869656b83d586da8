import { Heap } from 'heap-js';

interface Scheduled {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

/** Virtual time: events run in order of their time, ties in order of scheduling. */
export class EventQueue {
  #nowMs = 0;
  #order = 0;
  readonly #events = new Heap<Scheduled>(
    (a, b) => a.atMs - b.atMs || a.order - b.order,
  );

  get nowMs(): number {
    return this.#nowMs;
  }

  after(delayMs: number, run: () => void): void {
    this.at(this.#nowMs + delayMs, run);
  }

  at(atMs: number, run: () => void): void {
    this.#order += 1;
    this.#events.push({ atMs, order: this.#order, run });
  }

  /** Repeats until the end of the run. */
  every(periodMs: number, firstMs: number, run: () => void): void {
    this.at(firstMs, () => {
      run();
      this.every(periodMs, this.#nowMs + periodMs, run);
    });
  }

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
