import type { Clock } from '../blackboard/Blackboard.js';

/** Whether a replica should get new requests. */
export type HealthVerdict = 'avoid' | 'good' | 'probe';

/** Weight of the newest outcome in the share of failures. */
const OUTCOME_WEIGHT = 0.15;
/** Failures in a row after which a replica is avoided. */
const MAX_CONSECUTIVE = 3;
/** Outcomes before the share of failures says anything. */
const MIN_OUTCOMES = 6;
/**
 * Share of failures above the usual of the service from which a replica is
 * avoided. Plain services fail up to a seventh of one kind of request by
 * themselves; failing replicas were seen to fail four in ten.
 */
const EXCESS_FAILURES = 0.25;
/** Time for which a replica is avoided at first; doubles each time. */
const FIRST_AVOID_MS = 800;
const MAX_AVOID_MS = 6400;
/** Successful probes in a row that end the caution. */
const PROBES_TO_TRUST = 3;

/**
 * How one replica behaves towards this instance.
 *
 * Guards against replicas that fail requests while they announce themselves as
 * ready, or are dead before their entry is removed. It shows as failures in a
 * row or as a share of failures well above that of the other replicas.
 */
export class ReplicaHealth {
  #consecutive = 0;
  #outcomes = 0;
  #failureShare = 0;
  #avoidUntilMs = -Infinity;
  #avoidMs = FIRST_AVOID_MS;
  #onProbation = false;
  #goodProbes = 0;
  #probing = 0;

  constructor(private readonly clock: Clock) {}

  /** Smoothed share of failed attempts, 0 to 1. */
  get failureShare(): number {
    return this.#failureShare;
  }

  /** Says whether to send the replica new requests; probes go one at a time. */
  get verdict(): HealthVerdict {
    if (!this.#onProbation) {
      return 'good';
    }
    if (this.clock() < this.#avoidUntilMs || this.#probing > 0) {
      return 'avoid';
    }
    return 'probe';
  }

  /** Tells that an attempt was sent. */
  onSent(): void {
    if (this.#onProbation) {
      this.#probing += 1;
    }
  }

  /** Tells that an attempt ended without saying anything about the replica. */
  onNeutral(): void {
    this.#probing = Math.max(0, this.#probing - 1);
  }

  onSuccess(): void {
    this.onNeutral();
    this.#consecutive = 0;
    this.#count(0);
    // Answers that were under way when the caution began are no probes.
    if (!this.#onProbation || this.clock() < this.#avoidUntilMs) {
      return;
    }
    this.#goodProbes += 1;
    if (this.#goodProbes >= PROBES_TO_TRUST) {
      this.#onProbation = false;
      this.#avoidMs = FIRST_AVOID_MS;
    }
  }

  /** @param usualShare - share of failures that the service's replicas have */
  onFailure(usualShare: number): void {
    this.onNeutral();
    this.#consecutive += 1;
    this.#count(1);
    const isWorse =
      this.#outcomes >= MIN_OUTCOMES &&
      this.#failureShare > usualShare + EXCESS_FAILURES;
    if (this.#onProbation || this.#consecutive >= MAX_CONSECUTIVE || isWorse) {
      this.#avoid();
    }
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
    this.#goodProbes = 0;
  }
}
