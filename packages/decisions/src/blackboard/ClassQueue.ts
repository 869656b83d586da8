import { Heap } from 'heap-js';
import type { OrganisationId, RequestClass } from '@jujubecroft/types';

import { OrganisationQueue } from './OrganisationQueue.js';
import type { RequestRecord } from './RoutedRequest.js';

/**
 * Queue of one request class, with weighted fair queueing between organisations and FIFO
 * order within each. A burst of one organisation therefore delays mainly that
 * organisation.
 */
export class ClassQueue {
  /** Queued requests. */
  length = 0;
  /** Expected tokens of all queued requests. */
  queuedTokens = 0;
  /** Service that the class is owed under its guaranteed share, in tokens. */
  credit = 0;
  readonly #organisations = new Map<OrganisationId, OrganisationQueue>();
  readonly #waiting = new Heap<OrganisationQueue>(
    (a, b) => a.virtualTime - b.virtualTime,
  );
  #activeWeight = 0;
  #virtualTime = 0;

  constructor(readonly rules: RequestClass) {}

  push(record: RequestRecord): void {
    const queue = this.#organisationQueueOf(record);
    queue.push(record);
    queue.queuedTokens += record.expectedTokens;
    this.length += 1;
    this.queuedTokens += record.expectedTokens;
    if (!queue.waiting) {
      // An organisation does not save up service while it is idle: it starts at the
      // virtual time of the organisation that was served last.
      queue.virtualTime = Math.max(queue.virtualTime, this.#virtualTime);
      queue.weight = record.weight;
      queue.waiting = true;
      this.#waiting.push(queue);
      this.#activeWeight += queue.weight;
    }
  }

  /** @returns the request to serve next; requests that have ended are skipped */
  peek(): RequestRecord | undefined {
    let queue = this.#waiting.peek();
    while (queue && queue.peek() === undefined) {
      this.#removeEmpty(queue);
      queue = this.#waiting.peek();
    }
    return queue?.peek();
  }

  /** Removes the record that `peek` returned and charges its organisation. */
  shift(): RequestRecord | undefined {
    const record = this.peek();
    const queue = this.#waiting.peek();
    if (!record || !queue) {
      return undefined;
    }
    this.#waiting.pop();
    queue.shift();
    this.#virtualTime = queue.virtualTime;
    queue.virtualTime += record.expectedTokens / queue.weight;
    this.release(record);
    if (queue.peek()) {
      this.#waiting.push(queue);
    } else {
      this.#deactivate(queue);
    }
    return record;
  }

  /** Subtracts a record that left the queue or ended while queued from the counts. */
  release(record: RequestRecord): void {
    const queue = this.#organisationQueueOf(record);
    queue.queuedTokens -= record.expectedTokens;
    this.length -= 1;
    this.queuedTokens -= record.expectedTokens;
  }

  /**
   * Estimates the work that is served before a new request of an organisation.
   *
   * @param organisation - organisation of the new request
   * @param weight - weight of that organisation
   * @param tokens - expected length of the response, in tokens
   * @returns tokens ahead under fair queueing; at most the queued tokens
   */
  tokensAhead(
    organisation: OrganisationId,
    weight: number,
    tokens: number,
  ): number {
    const own = this.#organisations.get(organisation)?.queuedTokens ?? 0;
    const shareInverse = (this.#activeWeight + weight) / weight;
    return Math.min(this.queuedTokens, (own + tokens) * shareInverse);
  }

  #organisationQueueOf(record: RequestRecord): OrganisationQueue {
    const { organisation } = record.request;
    const known = this.#organisations.get(organisation);
    if (known) {
      return known;
    }
    const created = new OrganisationQueue();
    this.#organisations.set(organisation, created);
    return created;
  }

  #removeEmpty(queue: OrganisationQueue): void {
    this.#waiting.pop();
    this.#deactivate(queue);
  }

  #deactivate(queue: OrganisationQueue): void {
    queue.waiting = false;
    this.#activeWeight -= queue.weight;
  }
}
