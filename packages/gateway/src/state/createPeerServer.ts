import type { FastifyInstance } from 'fastify';
import { CountedResponse } from '@jujubecroft/http-server';
import { GatewayState } from '@jujubecroft/operator/peers';
import type { proto } from '@jujubecroft/operator/peers';

import { createApp } from '../createApp.js';

/** Path of pull requests, by which an instance gets everything that it lacks. */
export const PULL_PATH = '/state';
/** Content type of requests and replies, which are encoded protobuf messages. */
export const PULL_TYPE = 'application/x-protobuf';

/** Timeouts for heads, whole requests and idle connections. */
const HEADERS_TIMEOUT_MS = 5000;
const REQUEST_TIMEOUT_MS = 10_000;
const KEEP_ALIVE_MS = 15_000;
const TIMEOUT_CHECK_INTERVAL_MS = 1000;

/**
 * Creates the server for pull requests, which transfer state too large for a datagram.
 *
 * @param answer - returns everything that the instance with the given state lacks
 * @returns the server, not yet listening
 */
export function createPeerServer(
  answer: (state: proto.GatewayState) => proto.GatewayState,
): FastifyInstance {
  const app = createApp({
    forceCloseConnections: true,
    requestTimeout: REQUEST_TIMEOUT_MS,
    keepAliveTimeout: KEEP_ALIVE_MS,
    http: {
      ServerResponse: CountedResponse,
      headersTimeout: HEADERS_TIMEOUT_MS,
      connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
    },
  });
  app.addContentTypeParser(
    PULL_TYPE,
    { parseAs: 'buffer' },
    (_req, body, done) => {
      done(null, body);
    },
  );
  app.post<{ readonly Body: Buffer }>(PULL_PATH, async (req, reply) => {
    const state = answer(GatewayState.decode(req.body));
    await reply
      .type(PULL_TYPE)
      .send(Buffer.from(GatewayState.encode(state).finish()));
  });
  return app;
}
