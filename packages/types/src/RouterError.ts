import ModernError from 'modern-errors';

import type {
  ExecutionStatus,
  ResultCode,
  ResultCodeId,
} from './resultCodes.js';
import { RESULT_CODES } from './resultCodes.js';

/** Properties of a numbered error. */
export interface RouterErrorDetail {
  readonly code: ResultCodeId;
  /** Overrides the value in the catalogue where more is known. */
  readonly ran?: ExecutionStatus;
  /** Milliseconds after which a retry makes sense; 0 when unknown. */
  readonly retryAfterMs?: number;
}

/** An error with a numbered result code; see docs/ERRORS.md. */
export const RouterError = ModernError.subclass('RouterError', {
  props: { code: 'internal', ran: 'maybe', retryAfterMs: 0 },
});

/** A numbered error with all its properties. */
export interface RouterErrorInstance extends Error {
  readonly code: ResultCodeId;
  readonly ran: ExecutionStatus;
  /** Milliseconds after which a retry makes sense; 0 when unknown. */
  readonly retryAfterMs: number;
}

/**
 * Creates a numbered error.
 *
 * @param code - key in the result-code catalogue
 * @param message - what is wrong with this particular call
 * @param detail - `ran` and `retryAfterMs` where they differ from the defaults,
 *   and the error that caused this one
 * @returns the error; the caller throws it
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
 * Checks whether a caught value is a numbered error.
 *
 * @param err - the caught value
 * @returns true for errors made by `routerError`
 */
export function isRouterError(err: unknown): err is RouterErrorInstance {
  return err instanceof RouterError;
}

/**
 * Converts a caught value to a numbered error.
 *
 * @param err - the caught value
 * @returns the value itself if it is a numbered error, else an `internal` error
 *   with the value as its cause
 */
export function toRouterError(err: unknown): RouterErrorInstance {
  if (isRouterError(err)) {
    return err;
  }
  const message = err instanceof Error ? err.message : String(err);
  return routerError('internal', message, { cause: err });
}
