import type { IncomingMessage } from 'node:http';
import { STATUS_CODES } from 'node:http';

/** An error of a caller's connection: its bytes were no request, or came too late. */
export interface ConnectionError {
  /** Error code of Node.js or its HTTP parser. */
  readonly code: string;
  /** Status that was written on the connection; null if nothing was. */
  readonly status: number | null;
  /** Requests of the connection that had no complete response, oldest first. */
  readonly unanswered: readonly IncomingMessage[];
}

const STATUS_BY_CODE: ReadonlyMap<string | undefined, number> = new Map([
  ['ERR_HTTP_REQUEST_TIMEOUT', 408],
  ['HPE_HEADER_OVERFLOW', 431],
]);
const BAD_REQUEST = 400;

/**
 * Returns the status that answers an error of a connection.
 *
 * @param err - error that the HTTP server reports
 * @returns 408, 431 or 400
 */
export function statusOf({ code }: NodeJS.ErrnoException): number {
  return STATUS_BY_CODE.get(code) ?? BAD_REQUEST;
}

/**
 * Returns the body of an answer to bytes that are no request, in the format that
 * the framework has for errors.
 *
 * @param status - status of the answer
 * @returns JSON
 */
export function connectionErrorBody(status: number): string {
  return JSON.stringify({
    error: STATUS_CODES[status],
    message: 'The connection carried no complete request.',
    statusCode: status,
  });
}
