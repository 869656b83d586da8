import * as z from 'zod';

import type { Blackboard } from '../../blackboard/Blackboard.js';
import type { RequestRecord } from '../../blackboard/RoutedRequest.js';
import { createPolicyUnit } from '../createPolicyUnit.js';
import type { AttemptFailure, RecoveryPolicy } from './RecoveryPolicy.js';

interface BudgetedResumeOptions {
  /** Attempts that may have run, after which the request ends. */
  readonly maxAttempts: number;
  /** Attempts in all, those included that certainly did not run. */
  readonly maxTries: number;
}

/**
 * Guards against running a non-idempotent request twice: after bytes went out
 * only the backend server knows whether it ran, so it is sent again only when
 * the failure proves that it did not.
 */
function mayRunAgain(record: RequestRecord, failure: AttemptFailure): boolean {
  return failure.ran === 'no' || record.request.idempotent;
}

function takeCredit(board: Blackboard, record: RequestRecord): boolean {
  const credit = board.retryCredits.get(record.rules.id) ?? 0;
  if (credit < 1) {
    return false;
  }
  board.retryCredits.set(record.rules.id, credit - 1);
  return true;
}

/**
 * A refused connection costs no engine anything, and its server is avoided from
 * then on, so it draws on neither budget nor attempts. Otherwise a request would
 * fail beside healthy servers because the first few it met were down.
 */
function isWithinBudget(
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
  record.costlyAttempts += 1;
  return (
    record.costlyAttempts < options.maxAttempts && takeCredit(board, record)
  );
}

/** Resumes or retries within a budget per class. */
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
    if (!isWithinBudget(board, record, failure, options)) {
      return 'fail';
    }
    return record.tokensDelivered > 0 ? 'resume' : 'retry';
  },
});
