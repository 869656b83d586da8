import type { Ran } from '@jujubecroft/types';

import type { RequestRecord } from '../../blackboard/RoutedRequest.js';

/** How an attempt failed, as far as it is certain. */
export interface AttemptFailure {
  readonly ran: Ran;
  readonly reason: 'broken' | 'refused' | 'silent';
}

/** What becomes of a request whose attempt failed. */
export type RecoveryVerdict = 'fail' | 'resume' | 'retry';

export type RecoveryPolicy = (
  record: RequestRecord,
  failure: AttemptFailure,
) => RecoveryVerdict;
