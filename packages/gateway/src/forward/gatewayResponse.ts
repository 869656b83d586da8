import type { RequestId, ResultCode, ResultCodeId } from '@jujubecroft/types';
import { RESULT_CODES } from '@jujubecroft/types';

import type { CallerDialect } from '../ports/CallerDialect.js';
import type { CompleteResponse } from './CallerResponse.js';

/**
 * Builds an error response of the gateway's own.
 *
 * @param dialect - header names and formats of the deployment
 * @param code - result code
 * @param requestId - id of the request; null if it has none
 * @param retryAfterMs - retry delay in milliseconds; 0 if a retry is of no use
 * @returns the complete response
 */
export function gatewayResponse(
  dialect: CallerDialect,
  code: ResultCodeId,
  requestId: RequestId | null,
  retryAfterMs: number,
): CompleteResponse {
  const { number, httpStatus, summary, action, ran }: ResultCode =
    RESULT_CODES[code];
  const error = { code: number, type: code, message: summary, ran, action };
  return {
    status: httpStatus,
    decidedBy: 'gateway',
    headers: [
      'content-type',
      'application/json',
      ...dialect.gatewayResponseHeaders(requestId, retryAfterMs),
    ],
    body: Buffer.from(JSON.stringify({ error })),
  };
}
