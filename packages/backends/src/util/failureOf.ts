import type { AttemptFailure } from '@jujubecroft/decisions';
import type { Dispatcher } from 'undici';

/** Header by which a backend server states that it did not run the request. */
const NOT_RUN_HEADER = 'x-not-run';
const STATED = 'true';
const MIN_ERROR_STATUS = 400;

/**
 * Returns the failure that the complete response of a backend server stands for.
 *
 * A status alone does not tell whether the request ran: a server may fail with any of them
 * after it started the request. A statement that the status contradicts proves nothing.
 *
 * @param res - status and headers of the response
 * @param isFailure - whether a status is a failure of the server, not its answer
 * @returns `ran: "no"` only if the server states it, `maybe` for any other failure; null
 *   if the response is the answer
 */
export function failureOf(
  {
    statusCode,
    headers,
  }: Pick<Dispatcher.ResponseData, 'headers' | 'statusCode'>,
  isFailure: (status: number) => boolean,
): AttemptFailure | null {
  const isStated = headers[NOT_RUN_HEADER] === STATED;
  if (isStated && statusCode >= MIN_ERROR_STATUS) {
    return { ran: 'no', reason: 'refused' };
  }
  return isStated || isFailure(statusCode)
    ? { ran: 'maybe', reason: 'broken' }
    : null;
}
