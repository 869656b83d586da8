import type { ClientRequest, IncomingMessage } from 'node:http';

import { onConnectionEnd } from '../responses/onConnectionEnd.js';
import { endedByReset } from './endedByReset.js';

/**
 * Watches whether the connection of a response fails before the response is complete.
 *
 * For the reader of a body without a length, Node.js ends the body regularly then.
 *
 * @param req - request that the response belongs to
 * @param res - response whose body has not been read
 * @returns a function that tells, at the end of the body, whether the connection failed
 */
export function watchForFailure(
  req: ClientRequest,
  res: IncomingMessage,
): () => boolean {
  let hasFailed = false;
  onConnectionEnd(res, () => {
    hasFailed ||= !res.complete && endedByReset(res.socket);
  });
  req.on('error', () => {
    hasFailed ||= !res.complete;
  });
  return () => hasFailed;
}
