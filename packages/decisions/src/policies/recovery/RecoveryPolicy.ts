import type { ExecutionStatus } from '@jujubecroft/types';

import type { RequestRecord } from '../../blackboard/RoutedRequest.js';

/** How an attempt failed, as far as it is known. */
export interface AttemptFailure {
  readonly ran: ExecutionStatus;
  readonly reason: 'broken' | 'refused' | 'silent';
}

/** What to do with a request whose attempt failed. */
export type RecoveryVerdict = 'fail' | 'resume' | 'retry';

/** Decides what to do with a request whose attempt failed. */
export type RecoveryPolicy = (
  record: RequestRecord,
  failure: AttemptFailure,
) => RecoveryVerdict;
