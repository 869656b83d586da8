import * as z from 'zod';

import type { Blackboard } from '../../blackboard/Blackboard.js';
import type { RequestRecord } from '../../blackboard/RoutedRequest.js';
import { createPolicyUnit } from '../createPolicyUnit.js';
import type { AttemptFailure, RecoveryPolicy } from './RecoveryPolicy.js';

interface BudgetedResumeOptions {
  /** Number of attempts that possibly ran at which the request fails. */
  readonly maxAttempts: number;
  /** Maximum number of attempts, including those that certainly did not run. */
  readonly maxTries: number;
}

/**
 * Guards against running a non-idempotent request twice. Once bytes were sent,
 * only the backend server knows whether the request ran, so it is sent again
 * only if the failure proves that it did not.
 */
function mayRunAgain(record: RequestRecord, failure: AttemptFailure): boolean {
  return failure.ran === 'no' || record.request.idempotent;
}

/**
 * Takes one retry from the budget of the request's class; false if there is
 * none.
 */
function spendRetryCredit(board: Blackboard, record: RequestRecord): boolean {
  const credit = board.retryCredits.get(record.rules.id) ?? 0;
  if (credit < 1) {
    return false;
  }
  board.retryCredits.set(record.rules.id, credit - 1);
  return true;
}

/**
 * Charges another attempt to the limits and the retry budget; false if they do
 * not allow it.
 *
 * A refused connection costs an engine nothing, and its server is avoided from
 * then on, so it counts neither against the budget nor as a costly attempt.
 * Otherwise a request would fail although there are healthy servers, because
 * the first few it tried were down.
 */
function chargeNextAttempt(
  board: Blackboard,
  record: RequestRecord,
  failure: AttemptFailure,
  options: BudgetedResumeOptions,
): boolean {
  if (record.attempts >= options.maxTries) {
    return false;
  }
  if (failure.ran === 'no') {
    return true;
  }
  return (
    record.possiblyRunAttempts < options.maxAttempts &&
    spendRetryCredit(board, record)
  );
}

/** Resumes or retries requests within a retry budget per class. */
export const budgetedResume = createPolicyUnit<
  BudgetedResumeOptions,
  RecoveryPolicy
>({
  name: 'budgeted-resume',
  description:
    'Resumes a broken stream elsewhere from the tokens already delivered and retries what did not run, within a retry budget per class.',
  schema: z.object({
    maxAttempts: z.number().int().positive().default(4),
    maxTries: z.number().int().positive().default(16),
  }),
  create: (board, options) => (record, failure) => {
    if (!mayRunAgain(record, failure)) {
      return 'fail';
    }
    if (!chargeNextAttempt(board, record, failure, options)) {
      return 'fail';
    }
    return record.tokensDelivered > 0 ? 'resume' : 'retry';
  },
});
