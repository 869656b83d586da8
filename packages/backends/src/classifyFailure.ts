import type { AttemptFailure } from '@jujubecroft/decisions';

/** Faults that happen before a connection exists, so nothing was sent. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

function codeOf(err: unknown): string {
  if (typeof err !== 'object' || err === null || !('code' in err)) {
    return '';
  }
  return String(err.code);
}

/**
 * Says what is certain about an attempt that ended in a transport error.
 *
 * @param err - error from the HTTP client
 * @returns `ran: "no"` only when no connection was made; a reset may come
 *   after the server began, so it counts as `maybe`
 */
export function classifyFailure(err: unknown): AttemptFailure {
  return NOT_SENT_CODES.has(codeOf(err))
    ? { ran: 'no', reason: 'refused' }
    : { ran: 'maybe', reason: 'broken' };
}
