import ModernError from 'modern-errors';

import type { Ran, ResultCode, ResultCodeId } from './resultCodes.js';
import { RESULT_CODES } from './resultCodes.js';

/** What an error carries beyond its code. */
export interface RouterErrorDetail {
  readonly code: ResultCodeId;
  /** Overrides the catalogue value where more is known. */
  readonly ran?: Ran;
  /** Milliseconds after which a retry is useful; 0 when unknown. */
  readonly retryAfterMs?: number;
}

/** An error with a numbered result code; see docs/ERRORS.md. */
export const RouterError = ModernError.subclass('RouterError', {
  props: {
    code: 'internal' as ResultCodeId,
    ran: 'maybe' as Ran,
    retryAfterMs: 0,
  },
});

export type RouterErrorInstance = InstanceType<typeof RouterError>;

/**
 * Builds a numbered error.
 *
 * @param code - row of the result-code catalogue
 * @param message - what is wrong with this very call
 * @param detail - `ran` and `retryAfterMs` where they differ from the catalogue
 * @returns the error, not yet thrown
 */
export function routerError(
  code: ResultCodeId,
  message: string,
  detail: Omit<RouterErrorDetail, 'code'> & { readonly cause?: unknown } = {},
): RouterErrorInstance {
  const row: ResultCode = RESULT_CODES[code];
  const { cause, ran = row.ran, retryAfterMs = 0 } = detail;
  return new RouterError(message, {
    ...(cause === undefined ? {} : { cause }),
    props: { code, ran, retryAfterMs },
  });
}

/**
 * Finds the numbered error in anything thrown.
 *
 * @param err - whatever was caught
 * @returns the error itself, or an `internal` error that wraps it
 */
export function toRouterError(err: unknown): RouterErrorInstance {
  if (err instanceof RouterError) {
    return err;
  }
  const message = err instanceof Error ? err.message : String(err);
  return routerError('internal', message, { cause: err });
}
