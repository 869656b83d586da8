import type { ArgumentsHost, ExceptionFilter } from '@nestjs/common';
import { Catch, HttpException } from '@nestjs/common';
import type { FastifyReply } from 'fastify';
import type { RouterErrorInstance } from '@jujubecroft/types';
import { isRouterError, routerError, toRouterError } from '@jujubecroft/types';

import type { EventLog } from '@jujubecroft/events';
import { sendError } from './sendError.js';

const NOT_FOUND = 404;
const PAYLOAD_TOO_LARGE = 413;
const MIN_CLIENT_ERROR = 400;
const MIN_SERVER_ERROR = 500;

function statusOf(err: unknown): number {
  if (err instanceof HttpException) {
    return err.getStatus();
  }
  const statusCode =
    typeof err === 'object' && err !== null && 'statusCode' in err
      ? err.statusCode
      : MIN_SERVER_ERROR;
  return Number(statusCode);
}

/** Maps errors of the web framework to result codes. */
function withResultCode(err: unknown): RouterErrorInstance {
  if (isRouterError(err)) {
    return err;
  }
  const status = statusOf(err);
  const message = err instanceof Error ? err.message : String(err);
  if (status === NOT_FOUND) {
    return routerError('unknownPath', message);
  }
  if (status === PAYLOAD_TOO_LARGE) {
    return routerError('bodyTooLarge', message);
  }
  if (status >= MIN_CLIENT_ERROR && status < MIN_SERVER_ERROR) {
    return routerError('malformedBody', message);
  }
  return toRouterError(err);
}

/** Answers every error with its result code in the error envelope. */
@Catch()
export class ErrorFilter implements ExceptionFilter {
  constructor(private readonly log: EventLog) {}

  catch(thrown: unknown, host: ArgumentsHost): void {
    const err = withResultCode(thrown);
    if (err.code === 'internal') {
      this.log.write('unexpectedError', { reason: String(thrown) });
    }
    const reply = host.switchToHttp().getResponse<FastifyReply>();
    if (!reply.sent) {
      sendError(reply, err, '');
    }
  }
}
