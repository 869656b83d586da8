import type { ResultCode, RouterErrorInstance } from '@jujubecroft/types';
import { RESULT_CODES } from '@jujubecroft/types';

/** Error body in the envelope that chat-completions clients know. */
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
 * Puts a numbered error into the envelope.
 *
 * @param err - the error
 * @param request - id of the request, empty when it never got one
 * @returns the body
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
