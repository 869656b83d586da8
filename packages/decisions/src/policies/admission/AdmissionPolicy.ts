import type { RequestRecord } from '../../blackboard/RoutedRequest.js';

/** Outcome of admission with the numbers it was made from. */
export interface AdmissionVerdict {
  readonly admit: boolean;
  readonly predictedWaitMs: number;
  readonly budgetMs: number;
  readonly retryAfterMs: number;
}

/** Decides whether a request that has just arrived may wait for a backend server. */
export type AdmissionPolicy = (record: RequestRecord) => AdmissionVerdict;
