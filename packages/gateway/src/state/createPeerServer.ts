import type { FastifyInstance } from 'fastify';
import { CountedResponse } from '@jujubecroft/http-server';
import { GatewayState } from '@jujubecroft/operator/peers';
import type { proto } from '@jujubecroft/operator/peers';

import { createApp } from '../createApp.js';
import { CLIENT_TIMEOUTS } from '../side/clientTimeouts.js';

/** Path of pull requests, by which an instance gets everything that it lacks. */
export const PULL_PATH = '/state';
/** Content type of requests and replies, which are encoded protobuf messages. */
export const PULL_TYPE = 'application/x-protobuf';

/** Maximum size of a pull request, which an instance builds like a datagram, in bytes. */
const MAX_PULL_BYTES = 64 * 1024;

// The framework would replace these two by its own defaults.
const { requestTimeout, keepAliveTimeout, ...HTTP_TIMEOUTS } = CLIENT_TIMEOUTS;

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
    bodyLimit: MAX_PULL_BYTES,
    requestTimeout,
    keepAliveTimeout,
    http: { ServerResponse: CountedResponse, ...HTTP_TIMEOUTS },
  });
  app.removeAllContentTypeParsers();
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
