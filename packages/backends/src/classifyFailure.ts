import type { AttemptFailure } from '@jujubecroft/decisions';

/** Codes of errors that end the opening of a connection, so that nothing was sent. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);
const CONNECT_CALL = 'connect';

function codeOf(err: unknown): string {
  if (typeof err !== 'object' || err === null || !('code' in err)) {
    return '';
  }
  return String(err.code);
}

/**
 * Whether an error came from another system call than that which opens a connection. A
 * connection whose path is lost can end with the same codes after a request was sent.
 */
function isOfOpenConnection(err: unknown): boolean {
  return (
    typeof err === 'object' &&
    err !== null &&
    'syscall' in err &&
    err.syscall !== CONNECT_CALL
  );
}

/**
 * Classifies the transport error of an attempt by whether the request may have run.
 *
 * @param err - error from the HTTP client
 * @returns `ran: "no"` only when no connection was established, else `maybe`: a
 *   connection may be reset after the server has started the request
 */
export function classifyFailure(err: unknown): AttemptFailure {
  return NOT_SENT_CODES.has(codeOf(err)) && !isOfOpenConnection(err)
    ? { ran: 'no', reason: 'refused' }
    : { ran: 'maybe', reason: 'broken' };
}
