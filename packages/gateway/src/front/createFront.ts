import type { Server } from 'node:http';
import type { FastifyInstance } from 'fastify';
import type { CallerLimits } from '@jujubecroft/types';

import { createApp } from '../createApp.js';
import type { GatewayContext } from '../GatewayContext.js';
import { handleRequest } from './handleRequest.js';
import type { RequestsUnderWay } from './RequestsUnderWay.js';

/**
 * Bound on heads that the parser takes; the declared limit is checked after it,
 * since it may change while the server runs.
 */
const PARSER_MAX_HEAD_BYTES = 64 * 1024;
/** Time to read a request's head and body, until a configuration says otherwise. */
const DEFAULT_HEADER_TIMEOUT_MS = 5000;
const DEFAULT_IDLE_MS = 15_000;
/** Bound on reading a whole request; its own time limit ends it earlier. */
const REQUEST_TIMEOUT_MS = 60_000;
const CHECK_TIMEOUTS_MS = 500;

/** The server for callers. */
export interface Front {
  readonly app: FastifyInstance;
  readonly server: Server;
  /** Puts the limits of a configuration in force. */
  readonly limit: (limits: CallerLimits) => void;
}

/**
 * Creates the server for callers.
 *
 * Every request is taken over before the framework parses anything, since what
 * callers send goes on byte for byte, whatever its method, path and type.
 *
 * @param context - of the instance
 * @param underWay - requests that have not ended
 * @returns the server, not listening yet
 */
export function createFront(
  context: GatewayContext,
  underWay: RequestsUnderWay,
): Front {
  const app = createApp({
    keepAliveTimeout: DEFAULT_IDLE_MS,
    requestTimeout: REQUEST_TIMEOUT_MS,
    http: {
      maxHeaderSize: PARSER_MAX_HEAD_BYTES,
      headersTimeout: DEFAULT_HEADER_TIMEOUT_MS,
      connectionsCheckingInterval: CHECK_TIMEOUTS_MS,
    },
    // Any path is fine here; the routes that count are declared by operators.
    rewriteUrl: () => '/',
  });
  const { server } = app;
  app.addHook('onRequest', (req, reply, done) => {
    reply.hijack();
    // Routing has replaced the path; the caller's own goes on.
    req.raw.url = req.originalUrl;
    const failed = (err: unknown): void => {
      context.log.write('unexpectedError', {
        error: err instanceof Error ? (err.stack ?? err.message) : String(err),
      });
      reply.raw.destroy();
    };
    handleRequest(context, underWay, req.raw, reply.raw).catch(failed);
    done();
  });
  app.get('/', () => '');
  return {
    app,
    server,
    limit: ({ headerTimeoutMs, idleTimeoutMs }) => {
      server.headersTimeout = headerTimeoutMs;
      server.keepAliveTimeout = idleTimeoutMs;
    },
  };
}
