import type { Clock } from '../blackboard/Blackboard.js';

/** Whether a replica should get new requests. */
export type HealthVerdict = 'avoid' | 'good' | 'probe';

/** Smoothing factor of the failure share. */
const OUTCOME_WEIGHT = 0.15;
/** Number of consecutive failures after which a replica is avoided. */
const MAX_CONSECUTIVE_FAILURES = 3;
/** Number of outcomes before the failure share is used. */
const MIN_OUTCOMES = 6;
/**
 * A replica is avoided once its failure share exceeds that of the service by
 * this much. Plain services fail up to a seventh of one kind of request by
 * themselves, while failing replicas were observed to fail four in ten.
 */
const EXCESS_FAILURE_SHARE = 0.25;
/** Time for which a replica is avoided at first; doubles each time. */
const INITIAL_AVOID_MS = 800;
const MAX_AVOID_MS = 6400;
/**
 * Number of consecutive successful probes after which a replica is trusted
 * again.
 */
const PROBES_TO_RECOVER = 3;

/**
 * Circuit breaker for one replica, from the outcomes that this instance
 * observes.
 *
 * It detects replicas that fail requests while they announce themselves as
 * ready, or that are dead before their entry is removed: by consecutive
 * failures, or by a failure share well above that of the other replicas.
 */
export class ReplicaHealth {
  #consecutiveFailures = 0;
  #outcomes = 0;
  #failureShare = 0;
  #avoidUntilMs = -Infinity;
  #avoidMs = INITIAL_AVOID_MS;
  #onProbation = false;
  #successfulProbes = 0;
  #probesInFlight = 0;

  constructor(private readonly clock: Clock) {}

  /** Smoothed share of failed attempts, from 0 to 1. */
  get failureShare(): number {
    return this.#failureShare;
  }

  /**
   * Whether to send new requests to the replica; probes are sent one at a time.
   */
  get verdict(): HealthVerdict {
    if (!this.#onProbation) {
      return 'good';
    }
    if (this.clock() < this.#avoidUntilMs || this.#probesInFlight > 0) {
      return 'avoid';
    }
    return 'probe';
  }

  /** Records that an attempt was sent. */
  onSent(): void {
    if (this.#onProbation) {
      this.#probesInFlight += 1;
    }
  }

  /**
   * Releases the probe of an attempt that ended. Called directly for outcomes
   * that say nothing about the replica.
   */
  releaseProbe(): void {
    this.#probesInFlight = Math.max(0, this.#probesInFlight - 1);
  }

  /** Records a successful attempt. */
  onSuccess(): void {
    this.releaseProbe();
    this.#consecutiveFailures = 0;
    this.#count(0);
    // Answers to requests that were sent before the replica was avoided are no
    // probes.
    if (!this.#onProbation || this.clock() < this.#avoidUntilMs) {
      return;
    }
    this.#successfulProbes += 1;
    if (this.#successfulProbes >= PROBES_TO_RECOVER) {
      this.#onProbation = false;
      this.#avoidMs = INITIAL_AVOID_MS;
    }
  }

  /**
   * Records a failed attempt.
   *
   * @param usualShare - failure share of the service's other replicas, from 0
   *   to 1
   */
  onFailure(usualShare: number): void {
    this.releaseProbe();
    this.#consecutiveFailures += 1;
    this.#count(1);
    const isWorse =
      this.#outcomes >= MIN_OUTCOMES &&
      this.#failureShare > usualShare + EXCESS_FAILURE_SHARE;
    if (
      this.#onProbation ||
      this.#consecutiveFailures >= MAX_CONSECUTIVE_FAILURES ||
      isWorse
    ) {
      this.#avoid();
    }
  }

  /** Forgets all failures, which were not those of the replica. */
  reset(): void {
    this.#consecutiveFailures = 0;
    this.#outcomes = 0;
    this.#failureShare = 0;
    this.#avoidUntilMs = -Infinity;
    this.#avoidMs = INITIAL_AVOID_MS;
    this.#onProbation = false;
    this.#successfulProbes = 0;
    this.#probesInFlight = 0;
  }

  #count(failure: number): void {
    this.#outcomes += 1;
    this.#failureShare += OUTCOME_WEIGHT * (failure - this.#failureShare);
  }

  #avoid(): void {
    const nowMs = this.clock();
    if (nowMs < this.#avoidUntilMs) {
      return;
    }
    this.#avoidUntilMs = nowMs + this.#avoidMs;
    this.#avoidMs = Math.min(MAX_AVOID_MS, 2 * this.#avoidMs);
    this.#onProbation = true;
    this.#successfulProbes = 0;
  }
}
