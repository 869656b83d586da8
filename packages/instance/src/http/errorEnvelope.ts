import type { ResultCode, RouterErrorInstance } from '@jujubecroft/types';
import { RESULT_CODES } from '@jujubecroft/types';

/** Error body in the format that chat-completions clients expect. */
export interface ErrorEnvelope {
  readonly error: {
    readonly message: string;
    readonly type: string;
    readonly code: number;
    readonly ran: string;
    readonly action: string;
    readonly retry_after_ms: number;
    readonly request: string;
  };
}

/**
 * Converts an error to its response body.
 *
 * @param err - the error
 * @param request - id of the request; empty if none was assigned
 * @returns the response body
 */
export function errorEnvelope(
  err: RouterErrorInstance,
  request: string,
): ErrorEnvelope {
  const row: ResultCode = RESULT_CODES[err.code];
  return {
    error: {
      message: err.message,
      type: err.code,
      code: row.number,
      ran: err.ran,
      action: row.action,
      retry_after_ms: err.retryAfterMs,
      request,
    },
  };
}
