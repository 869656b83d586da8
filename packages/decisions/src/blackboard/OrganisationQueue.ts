import type { RequestRecord } from './RoutedRequest.js';

/** Removed records after which the array may be compacted. */
const COMPACT_AFTER_RECORDS = 64;

/** FIFO queue of one organisation within one class. */
export class OrganisationQueue {
  /** Work served so far divided by the weight; the smallest value is served next. */
  virtualTime = 0;
  /** Expected tokens of all queued requests. */
  queuedTokens = 0;
  /** Whether the queue is in the heap of its class. */
  waiting = false;
  weight = 1;
  #records: RequestRecord[] = [];
  #headIndex = 0;

  push(record: RequestRecord): void {
    this.#records.push(record);
  }

  /** @returns the first record that is still queued; records that ended are removed */
  peek(): RequestRecord | undefined {
    let head = this.#records[this.#headIndex];
    while (head && head.state !== 'queued') {
      this.#dropHead();
      head = this.#records[this.#headIndex];
    }
    return head;
  }

  /** Removes the record that `peek` returned. */
  shift(): void {
    this.#dropHead();
  }

  #dropHead(): void {
    this.#headIndex += 1;
    if (
      this.#headIndex > COMPACT_AFTER_RECORDS &&
      this.#headIndex * 2 > this.#records.length
    ) {
      this.#records = this.#records.slice(this.#headIndex);
      this.#headIndex = 0;
    }
  }
}
