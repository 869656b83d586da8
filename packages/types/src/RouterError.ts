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
  props: { code: 'internal', ran: 'maybe', retryAfterMs: 0 },
});

/** What every numbered error carries. */
export interface RouterErrorInstance extends Error {
  readonly code: ResultCodeId;
  readonly ran: Ran;
  /** Milliseconds after which a retry is useful; 0 when unknown. */
  readonly retryAfterMs: number;
}

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
  const err: Error = new RouterError(message, {
    ...(cause === undefined ? {} : { cause }),
    props: { code, ran, retryAfterMs },
  });
  return err as RouterErrorInstance;
}

/**
 * Whether anything thrown is a numbered error.
 *
 * @param err - whatever was caught
 * @returns true for errors made by `routerError`
 */
export function isRouterError(err: unknown): err is RouterErrorInstance {
  return err instanceof RouterError;
}

/**
 * Finds the numbered error in anything thrown.
 *
 * @param err - whatever was caught
 * @returns the error itself, or an `internal` error that wraps it
 */
export function toRouterError(err: unknown): RouterErrorInstance {
  if (isRouterError(err)) {
    return err;
  }
  const message = err instanceof Error ? err.message : String(err);
  return routerError('internal', message, { cause: err });
}
