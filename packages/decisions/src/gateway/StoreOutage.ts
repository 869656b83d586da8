import type { InstanceId } from '@jujubecroft/types';

import type { Clock } from '../blackboard/Blackboard.js';

/** Time without an answer after which a call counts as failing, in milliseconds. */
const SILENT_MS = 400;
/** Time for which the answer of another instance counts, in milliseconds. */
const PEER_ANSWER_VALID_MS = 1500;
/** Number of other instances that must have answered, if there are as many. */
const REQUIRED_PEER_ANSWERS = 2;

/**
 * Whether the store is unavailable, as opposed to this instance being slow or cut off.
 *
 * An outage is confirmed if calls of this instance fail while others have answered
 * probes; whether these have a current view of the fleet is up to the caller. An
 * instance whose process or network is at fault gets no answers, or learns from
 * them that others can read the store.
 */
export class StoreOutage {
  /** Whether a call has failed since the last answer of the store. */
  #hasFailed = false;
  /** Start of the oldest unanswered call on the local clock; null for none. */
  #pendingSinceMs: number | null = null;
  /** When the latest answered probe of each instance was sent, on the local clock. */
  readonly #peerAnswers = new Map<InstanceId, number>();

  constructor(private readonly clock: Clock) {}

  /** Records that a call to the store was started. */
  onCall(): void {
    this.#pendingSinceMs ??= this.clock();
  }

  /** Records that the store answered a call. */
  onAnswer(): void {
    this.#hasFailed = false;
    this.#pendingSinceMs = null;
  }

  /** Records that a call to the store failed. */
  onFailure(): void {
    this.#hasFailed = true;
    this.#pendingSinceMs = null;
  }

  /**
   * Records that another instance answered a probe.
   *
   * @param instance - the other instance
   * @param askedMs - local time at which the probe was sent, in milliseconds
   */
  onPeerAnswer(instance: InstanceId, askedMs: number): void {
    this.#peerAnswers.delete(instance);
    this.#peerAnswers.set(instance, askedMs);
    const sinceMs = this.clock() - PEER_ANSWER_VALID_MS;
    this.#peerAnswers.forEach((atMs, id) => {
      if (atMs < sinceMs) {
        this.#peerAnswers.delete(id);
      }
    });
  }

  /**
   * Discards the evidence. To be called after this process has stood still: calls may
   * have failed for that reason alone.
   */
  onStall(): void {
    this.#hasFailed = false;
    this.#peerAnswers.clear();
    if (this.#pendingSinceMs !== null) {
      this.#pendingSinceMs = this.clock();
    }
  }

  /**
   * Whether an outage is confirmed.
   *
   * @param others - number of other instances that have not left; if there are none,
   *   failed calls suffice. Those that can't be reached count, too: to an instance that
   *   is cut off, all others seem to have failed
   */
  isConfirmed(others: number): boolean {
    const sinceMs = this.clock() - PEER_ANSWER_VALID_MS;
    const valid = [...this.#peerAnswers.values()].filter(
      atMs => atMs >= sinceMs,
    );
    return (
      this.#isFailing && valid.length >= Math.min(REQUIRED_PEER_ANSWERS, others)
    );
  }

  get #isFailing(): boolean {
    const isSilent =
      this.#pendingSinceMs !== null &&
      this.clock() - this.#pendingSinceMs >= SILENT_MS;
    return this.#hasFailed || isSilent;
  }
}
