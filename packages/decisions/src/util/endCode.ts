import type { ResultCodeId } from '@jujubecroft/types';

import type { RequestRecord } from '../blackboard/RoutedRequest.js';

/**
 * Returns the result code of a request that ends without a complete response.
 *
 * @param record - the request
 * @param whenNotRun - code if no attempt can have run; it may promise that
 * @returns that code, or one that tells what an attempt may have done
 */
export function endCode(
  { tokensDelivered, possiblyRunAttempts }: RequestRecord,
  whenNotRun: ResultCodeId,
): ResultCodeId {
  if (tokensDelivered > 0) {
    return 'streamCut';
  }
  return possiblyRunAttempts > 0 ? 'backendMaybeRan' : whenNotRun;
}
