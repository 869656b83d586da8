import { Heap } from 'heap-js';
import type { ClassId } from '@jujubecroft/types';

import { ClassQueue } from './ClassQueue.js';
import type { RequestRecord } from './RoutedRequest.js';

interface Expiry {
  readonly atMs: number;
  readonly record: RequestRecord;
  /** Attempts when the wait began; a later wait has an expiry of its own. */
  readonly attempts: number;
}

/** Chooses the class to serve next among those with queued work. */
export type OrderingPolicy = (
  classes: readonly ClassQueue[],
) => OrderingChoice | undefined;

export interface OrderingChoice {
  readonly queue: ClassQueue;
  /** The class is served because of its guaranteed share, not its tier. */
  readonly guaranteed: boolean;
}

/** All queued work for one pool of backend servers. */
export class RequestQueue {
  /** Work that already ran elsewhere and goes first, in order of tier. */
  readonly #displaced = new Heap<RequestRecord>(
    (a, b) => a.rules.tier - b.rules.tier || a.arrivedAtMs - b.arrivedAtMs,
  );
  readonly #classes = new Map<ClassId, ClassQueue>();
  readonly #expiries = new Heap<Expiry>((a, b) => a.atMs - b.atMs);

  /** @returns queued requests, displaced ones included */
  get length(): number {
    return this.classes.reduce(
      (sum, queue) => sum + queue.length,
      this.#displaced.length,
    );
  }

  get classes(): readonly ClassQueue[] {
    return [...this.#classes.values()];
  }

  classQueue(record: RequestRecord): ClassQueue {
    const known = this.#classes.get(record.rules.id);
    if (known) {
      return known;
    }
    const queue = new ClassQueue(record.rules);
    this.#classes.set(record.rules.id, queue);
    return queue;
  }

  push(record: RequestRecord): void {
    this.classQueue(record).push(record);
    this.#scheduleExpiry(record, record.arrivedAtMs);
  }

  pushDisplaced(record: RequestRecord, nowMs: number): void {
    // A stream under way is worth more than its first-token target.
    record.budgetMs = record.rules.maxQueueMs;
    this.#displaced.push(record);
    this.#scheduleExpiry(record, nowMs);
  }

  peekDisplaced(): RequestRecord | undefined {
    let head = this.#displaced.peek();
    while (head && head.state !== 'queued') {
      this.#displaced.pop();
      head = this.#displaced.peek();
    }
    return head;
  }

  shiftDisplaced(): void {
    this.#displaced.pop();
  }

  /**
   * Takes out requests whose bound in the queue has passed.
   *
   * @param nowMs - present time
   * @returns the expired records, still marked as queued
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
