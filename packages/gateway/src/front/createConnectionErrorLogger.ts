import type { ConnectionError } from '@jujubecroft/http-server';

import type { GatewayContext } from '../GatewayContext.js';

/** Maximum number of requests that one log line names. */
const MAX_LOGGED_REQUESTS = 8;
/** Codes of the HTTP parser and of Node.js, whose number is bounded. */
const LIBRARY_CODE = /^(HPE|ERR_HTTP)_[A-Z_\d]+$/;

/**
 * Creates a function that logs and counts the errors of callers' connections.
 *
 * @param context - shared parts of the instance
 * @returns the function
 */
export function createConnectionErrorLogger({
  dialect,
  log,
  metrics,
}: GatewayContext): (error: ConnectionError) => void {
  return ({ code, status, unanswered }) => {
    metrics.connectionErrors.inc({
      code: LIBRARY_CODE.test(code) ? code : 'other',
      status: status === null ? 'none' : String(status),
    });
    log.write('connectionError', {
      code,
      status,
      unanswered: unanswered
        .slice(0, MAX_LOGGED_REQUESTS)
        .map(({ rawHeaders }) => dialect.readRequest(rawHeaders).id),
    });
  };
}
