import { Heap } from 'heap-js';
import type { ClassId } from '@jujubecroft/types';

import { ClassQueue } from './ClassQueue.js';
import type { RequestRecord } from './RoutedRequest.js';

interface Expiry {
  readonly atMs: number;
  readonly record: RequestRecord;
  /** Number of attempts when the wait began; each later wait has its own expiry. */
  readonly attempts: number;
}

/** Chooses the class to serve next. */
export type OrderingPolicy = (
  classes: readonly ClassQueue[],
) => OrderingChoice | undefined;

/** Class to serve next. */
export interface OrderingChoice {
  readonly queue: ClassQueue;
  /** Whether the class is served because of its guaranteed share instead of its tier. */
  readonly guaranteed: boolean;
}

/** All queued requests for one pool of backend servers. */
export class RequestQueue {
  /** Requests that were dispatched before; served first, by tier and arrival. */
  readonly #displaced = new Heap<RequestRecord>(
    (a, b) => a.rules.tier - b.rules.tier || a.arrivedAtMs - b.arrivedAtMs,
  );
  readonly #classes = new Map<ClassId, ClassQueue>();
  readonly #expiries = new Heap<Expiry>((a, b) => a.atMs - b.atMs);

  /** @returns number of queued requests, including displaced ones */
  get length(): number {
    return this.classes.reduce(
      (sum, queue) => sum + queue.length,
      this.#displaced.length,
    );
  }

  get classes(): readonly ClassQueue[] {
    return [...this.#classes.values()];
  }

  /** @returns the queue of the record's class; created on first use */
  classQueue(record: RequestRecord): ClassQueue {
    const known = this.#classes.get(record.rules.id);
    if (known) {
      return known;
    }
    const queue = new ClassQueue(record.rules);
    this.#classes.set(record.rules.id, queue);
    return queue;
  }

  /** Enqueues a new request in the queue of its class. */
  push(record: RequestRecord): void {
    this.classQueue(record).push(record);
    this.#scheduleExpiry(record, record.arrivedAtMs);
  }

  /** Enqueues a request that was dispatched before and whose attempt has ended. */
  pushDisplaced(record: RequestRecord, nowMs: number): void {
    // Cutting off a response in progress is worse than missing its first-token target, so
    // only the maximum queue time limits the wait.
    record.budgetMs = record.rules.maxQueueMs;
    this.#displaced.push(record);
    this.#scheduleExpiry(record, nowMs);
  }

  /** @returns the displaced request to serve next; requests that ended are removed */
  peekDisplaced(): RequestRecord | undefined {
    let head = this.#displaced.peek();
    while (head && head.state !== 'queued') {
      this.#displaced.pop();
      head = this.#displaced.peek();
    }
    return head;
  }

  /** Removes the record that `peekDisplaced` returned. */
  shiftDisplaced(): void {
    this.#displaced.pop();
  }

  /**
   * Returns, once each, the requests that have waited for longer than their budget.
   *
   * @param nowMs - current time
   * @returns the expired records; their state is still `queued`
   */
  takeExpired(nowMs: number): readonly RequestRecord[] {
    const expired: RequestRecord[] = [];
    let head = this.#expiries.peek();
    while (head && (head.atMs <= nowMs || head.record.state !== 'queued')) {
      this.#expiries.pop();
      const { record, attempts } = head;
      if (record.state === 'queued' && record.attempts === attempts) {
        expired.push(record);
      }
      head = this.#expiries.peek();
    }
    return expired;
  }

  #scheduleExpiry(record: RequestRecord, sinceMs: number): void {
    const atMs = sinceMs + record.budgetMs;
    this.#expiries.push({ atMs, record, attempts: record.attempts });
  }
}
