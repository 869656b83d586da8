import type { FastifyInstance } from 'fastify';

import { createApp } from '../createApp.js';
import type { GatewayContext } from '../GatewayContext.js';
import { serveMetrics } from './serveMetrics.js';

/** Adds routes that speak as the deployment's callers expect. */
export type SideRoutes = (
  app: FastifyInstance,
  context: GatewayContext,
) => void;

/**
 * Creates the web application beside the callers' traffic: readiness, addresses
 * and metrics.
 *
 * @param context - of the instance
 * @param addRoutes - adds what the deployment asks for
 * @returns the application, not listening
 */
export async function createSideApp(
  context: GatewayContext,
  addRoutes: SideRoutes,
): Promise<FastifyInstance> {
  const app = createApp({ forceCloseConnections: true });
  serveMetrics(app, context);
  addRoutes(app, context);
  await app.ready();
  return app;
}
