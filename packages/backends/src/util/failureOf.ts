import type { AttemptFailure } from '@jujubecroft/decisions';
import { isDecoded, isFinalStatus } from '@jujubecroft/types';
import type { Dispatcher } from 'undici';

/** Header by which a backend server states that it did not run the request. */
const NOT_RUN_HEADER = 'x-not-run';
const STATED = 'true';
const MIN_ERROR_STATUS = 400;
const TRAILING_SPACES = / +$/;
const BROKEN: AttemptFailure = { ran: 'maybe', reason: 'broken' };

/** Whether the head can be that of a response, and its body was decoded. */
function isValid({
  statusCode,
  headers,
}: Pick<Dispatcher.ResponseData, 'headers' | 'statusCode'>): boolean {
  // undici leaves spaces at the end of a value, which its parser ignores.
  const codings = [headers['transfer-encoding'] ?? []]
    .flat()
    .map(text => text.replace(TRAILING_SPACES, ''));
  return isFinalStatus(statusCode) && isDecoded(codings);
}

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
  res: Pick<Dispatcher.ResponseData, 'headers' | 'statusCode'>,
  isFailure: (status: number) => boolean,
): AttemptFailure | null {
  const { statusCode, headers } = res;
  if (!isValid(res)) {
    return BROKEN;
  }
  const isStated = headers[NOT_RUN_HEADER] === STATED;
  if (isStated && statusCode >= MIN_ERROR_STATUS) {
    return { ran: 'no', reason: 'refused' };
  }
  return isStated || isFailure(statusCode) ? BROKEN : null;
}
