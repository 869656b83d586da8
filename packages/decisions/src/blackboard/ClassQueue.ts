import { Heap } from 'heap-js';
import type { OrganisationId, RequestClass } from '@jujubecroft/types';

import { OrganisationQueue } from './OrganisationQueue.js';
import type { RequestRecord } from './RoutedRequest.js';

/**
 * Queue of one class: weighted fair between organisations, first come first
 * served within one. A burst of one organisation therefore delays that
 * organisation, not its neighbours.
 */
export class ClassQueue {
  length = 0;
  queuedTokens = 0;
  /** Work owed to the class under its guaranteed share, in tokens. */
  credit = 0;
  readonly #organisations = new Map<OrganisationId, OrganisationQueue>();
  readonly #waiting = new Heap<OrganisationQueue>(
    (a, b) => a.virtualTime - b.virtualTime,
  );
  #activeWeight = 0;
  #virtualTime = 0;

  constructor(readonly rules: RequestClass) {}

  push(record: RequestRecord): void {
    const line = this.#organisationQueueOf(record);
    line.push(record);
    line.queuedTokens += record.expectedTokens;
    this.length += 1;
    this.queuedTokens += record.expectedTokens;
    if (!line.waiting) {
      // An organisation that was idle gains no claim on the past.
      line.virtualTime = Math.max(line.virtualTime, this.#virtualTime);
      line.weight = record.weight;
      line.waiting = true;
      this.#waiting.push(line);
      this.#activeWeight += line.weight;
    }
  }

  peek(): RequestRecord | undefined {
    let line = this.#waiting.peek();
    while (line && line.peek() === undefined) {
      this.#removeEmpty(line);
      line = this.#waiting.peek();
    }
    return line?.peek();
  }

  /** Removes the record that `peek` returned and charges its organisation. */
  shift(): RequestRecord | undefined {
    const record = this.peek();
    const line = this.#waiting.peek();
    if (!record || !line) {
      return undefined;
    }
    this.#waiting.pop();
    line.shift();
    this.#virtualTime = line.virtualTime;
    line.virtualTime += record.expectedTokens / line.weight;
    this.release(record);
    if (line.peek()) {
      this.#waiting.push(line);
    } else {
      this.#deactivate(line);
    }
    return record;
  }

  /** Takes a record that ended while queued out of the counts. */
  release(record: RequestRecord): void {
    const line = this.#organisationQueueOf(record);
    line.queuedTokens -= record.expectedTokens;
    this.length -= 1;
    this.queuedTokens -= record.expectedTokens;
  }

  /**
   * Work that goes before a new request of one organisation.
   *
   * @param organisation - whose request arrives
   * @param weight - weight of that organisation
   * @param tokens - expected length of the request
   * @returns tokens ahead under fair queueing, never more than is queued
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
    const line = new OrganisationQueue();
    this.#organisations.set(organisation, line);
    return line;
  }

  #removeEmpty(line: OrganisationQueue): void {
    this.#waiting.pop();
    this.#deactivate(line);
  }

  #deactivate(line: OrganisationQueue): void {
    line.waiting = false;
    this.#activeWeight -= line.weight;
  }
}
