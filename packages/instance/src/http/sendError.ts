import type { FastifyReply } from 'fastify';
import type { RouterErrorInstance } from '@jujubecroft/types';
import { RESULT_CODES } from '@jujubecroft/types';

import { errorEnvelope } from './errorEnvelope.js';

const MS_PER_SECOND = 1000;

/**
 * Sends an error with its HTTP status and, if it has a retry delay,
 * `retry-after`.
 *
 * @param reply - reply whose headers have not been sent
 * @param err - the error
 * @param request - id of the request; empty if none was assigned
 */
export function sendError(
  reply: FastifyReply,
  err: RouterErrorInstance,
  request: string,
): void {
  void reply.code(RESULT_CODES[err.code].httpStatus);
  if (err.retryAfterMs > 0) {
    const seconds = Math.ceil(err.retryAfterMs / MS_PER_SECOND);
    void reply.header('retry-after', String(seconds));
  }
  void reply.send(errorEnvelope(err, request));
}
