import { z } from 'zod';

import type { Blackboard } from '../../blackboard/Blackboard.js';
import type { RequestRecord } from '../../blackboard/RoutedRequest.js';
import { createPolicyUnit } from '../createPolicyUnit.js';
import type { AttemptFailure, RecoveryPolicy } from './RecoveryPolicy.js';

interface BudgetedResumeOptions {
  readonly maxAttempts: number;
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
  }),
  create: (board, options) => (record, failure) => {
    if (!mayRunAgain(record, failure)) {
      return 'fail';
    }
    if (record.attempts >= options.maxAttempts || !takeCredit(board, record)) {
      return 'fail';
    }
    return record.tokensDelivered > 0 ? 'resume' : 'retry';
  },
});
