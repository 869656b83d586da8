import type { RequestRecord } from '../../blackboard/RoutedRequest.js';

/** Outcome of admission with the figures behind it. */
export interface AdmissionVerdict {
  readonly admit: boolean;
  /** Predicted time in the queue, in milliseconds. */
  readonly predictedWaitMs: number;
  /** Longest predicted wait that is admitted, in milliseconds. */
  readonly budgetMs: number;
  /** Time after which the caller should retry, in milliseconds. */
  readonly retryAfterMs: number;
}

/**
 * Decides whether a request that has just arrived may wait for a backend
 * server.
 */
export type AdmissionPolicy = (record: RequestRecord) => AdmissionVerdict;
