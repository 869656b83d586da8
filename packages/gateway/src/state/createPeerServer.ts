import type { FastifyInstance } from 'fastify';
import { GatewayState } from '@jujubecroft/operator/peers';
import type { proto } from '@jujubecroft/operator/peers';

import { createApp } from '../createApp.js';

/** Path of the request for all that an instance lacks. */
export const PULL_PATH = '/state';
/** Type of bodies in the schema's encoding. */
export const PULL_TYPE = 'application/x-protobuf';

/**
 * Creates the server that hands out what doesn't fit a datagram.
 *
 * @param answer - answers the state of an instance with what that one lacks
 * @returns the server, not listening yet
 */
export function createPeerServer(
  answer: (state: proto.GatewayState) => proto.GatewayState,
): FastifyInstance {
  const app = createApp({ forceCloseConnections: true });
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
