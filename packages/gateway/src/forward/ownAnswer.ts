import type { RequestId, ResultCode, ResultCodeId } from '@jujubecroft/types';
import { RESULT_CODES } from '@jujubecroft/types';

import type { CallerDialect } from '../ports/CallerDialect.js';
import type { WholeAnswer } from './CallerAnswer.js';

/**
 * Builds an answer of this system's own.
 *
 * @param dialect - how it is said in headers
 * @param code - row of the catalogue of result codes
 * @param requestId - null where the request has none
 * @param retryAfterMs - when to come back; 0 where that is of no use
 * @returns the whole answer
 */
export function ownAnswer(
  dialect: CallerDialect,
  code: ResultCodeId,
  requestId: RequestId | null,
  retryAfterMs: number,
): WholeAnswer {
  const { number, httpStatus, summary, action, ran }: ResultCode =
    RESULT_CODES[code];
  const error = { code: number, type: code, message: summary, ran, action };
  return {
    status: httpStatus,
    headers: [
      'content-type',
      'application/json',
      ...dialect.ownAnswer(requestId, retryAfterMs),
    ],
    body: Buffer.from(JSON.stringify({ error })),
  };
}
