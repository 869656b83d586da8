import type { ArgumentsHost, ExceptionFilter } from '@nestjs/common';
import { Catch, HttpException } from '@nestjs/common';
import type { FastifyReply } from 'fastify';
import type { RouterErrorInstance } from '@jujubecroft/types';
import { isRouterError, routerError, toRouterError } from '@jujubecroft/types';

import type { EventLog } from '@jujubecroft/events';
import { sendError } from './sendError.js';

const NOT_FOUND = 404;
const TOO_LARGE = 413;
const CLIENT_ERROR_FROM = 400;
const SERVER_ERROR_FROM = 500;

function statusOf(err: unknown): number {
  if (err instanceof HttpException) {
    return err.getStatus();
  }
  const carried =
    typeof err === 'object' && err !== null && 'statusCode' in err
      ? err.statusCode
      : SERVER_ERROR_FROM;
  return Number(carried);
}

/** Maps errors of the web framework to the catalogue. */
function numbered(err: unknown): RouterErrorInstance {
  if (isRouterError(err)) {
    return err;
  }
  const status = statusOf(err);
  const message = err instanceof Error ? err.message : String(err);
  if (status === NOT_FOUND) {
    return routerError('unknownPath', message);
  }
  if (status === TOO_LARGE) {
    return routerError('bodyTooLarge', message);
  }
  if (status >= CLIENT_ERROR_FROM && status < SERVER_ERROR_FROM) {
    return routerError('malformedBody', message);
  }
  return toRouterError(err);
}

/** Answers every error with its numbered code in the envelope. */
@Catch()
export class ErrorFilter implements ExceptionFilter {
  constructor(private readonly log: EventLog) {}

  catch(thrown: unknown, host: ArgumentsHost): void {
    const err = numbered(thrown);
    if (err.code === 'internal') {
      this.log.write('unexpectedError', { reason: String(thrown) });
    }
    const reply = host.switchToHttp().getResponse<FastifyReply>();
    if (!reply.sent) {
      sendError(reply, err, '');
    }
  }
}
