import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { FastifyInstance } from 'fastify';
import {
  connectionErrorBody,
  CountedResponse,
  handleConnectionErrors,
  limitClients,
} from '@jujubecroft/http-server';
import type { CallerLimits } from '@jujubecroft/types';

import { createApp } from '../createApp.js';
import type { GatewayContext } from '../GatewayContext.js';
import { CallerTurns } from './CallerTurns.js';
import { createClientLimitLogger } from './createClientLimitLogger.js';
import { createConnectionErrorLogger } from './createConnectionErrorLogger.js';
import { handleRequest } from './handleRequest.js';
import { keepAsAnnounced } from './keepAsAnnounced.js';
import type { InFlightRequests } from './InFlightRequests.js';

/**
 * Limit of the HTTP parser for request heads. The declared limit is checked
 * after parsing, since it may change while the server runs.
 */
const PARSER_MAX_HEAD_BYTES = 64 * 1024;
/** Timeout for reading a request head until a configuration is known. */
const DEFAULT_HEADER_TIMEOUT_MS = 5000;
/** Timeout for idle connections until a configuration is known. */
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;
/**
 * Timeout for reading a complete request; the time limit of the request usually
 * ends it earlier.
 */
const REQUEST_TIMEOUT_MS = 60_000;
/** Interval at which the server checks connections against its timeouts. */
const TIMEOUT_CHECK_INTERVAL_MS = 500;

/** HTTP server for callers. */
export interface CallerServer {
  readonly app: FastifyInstance;
  readonly server: Server;
  /** Applies the limits of a configuration. */
  readonly limit: (limits: CallerLimits) => void;
  /** Accepts no more connections, and closes those without a request. */
  readonly stopListening: () => void;
}

/**
 * Creates the HTTP server for callers.
 *
 * Every request bypasses the router of the framework, since the gateway forwards
 * it byte for byte, whatever its method, path and content type.
 *
 * @param context - shared parts of the instance
 * @param inFlight - unfinished requests
 * @returns the server, not listening yet
 */
export function createCallerServer(
  context: GatewayContext,
  inFlight: InFlightRequests,
): CallerServer {
  const app = createApp({
    keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
    requestTimeout: REQUEST_TIMEOUT_MS,
    http: {
      ServerResponse: CountedResponse,
      maxHeaderSize: PARSER_MAX_HEAD_BYTES,
      headersTimeout: DEFAULT_HEADER_TIMEOUT_MS,
      connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
    },
  });
  const { server } = app;
  // The framework manages the server; its router would only delay requests.
  server.removeAllListeners('request');
  handleConnectionErrors(server, {
    // A request is sent on only once its body is complete.
    hasBegun: req => req.complete,
    bodyOf: connectionErrorBody,
    onError: createConnectionErrorLogger(context),
  });
  limitClients(
    server,
    context.resources.callers,
    createClientLimitLogger(context, 'callers'),
  );
  keepAsAnnounced(server);
  const { log, responseWatch } = context;
  const turns = new CallerTurns();
  server.on('request', (req: IncomingMessage, res: ServerResponse) => {
    responseWatch.add(req, res);
    handleRequest(context, inFlight, turns, req, res).catch((err: unknown) => {
      log.write('unexpectedError', {
        error: err instanceof Error ? (err.stack ?? err.message) : String(err),
      });
      responseWatch.note(res, 'error');
      res.destroy();
    });
  });
  return {
    app,
    server,
    limit: ({ headerTimeoutMs, idleTimeoutMs }) => {
      server.headersTimeout = headerTimeoutMs;
      server.keepAliveTimeout = idleTimeoutMs;
    },
    stopListening: () => {
      server.close();
    },
  };
}
