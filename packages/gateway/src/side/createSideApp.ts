import type { FastifyInstance } from 'fastify';

import { createApp } from '../createApp.js';
import type { GatewayContext } from '../GatewayContext.js';
import { serveMetrics } from './serveMetrics.js';

/**
 * Adds the readiness and address routes in the form that the deployment's callers
 * expect.
 */
export type SideRoutes = (
  app: FastifyInstance,
  context: GatewayContext,
) => void;

/**
 * Creates the web application that serves metrics, readiness and addresses, separate
 * from the callers' traffic.
 *
 * @param context - context of the instance
 * @param addRoutes - adds the routes that depend on the deployment
 * @returns the application, not listening
 */
export async function createSideApp(
  context: GatewayContext,
  addRoutes: SideRoutes,
): Promise<FastifyInstance> {
  const app = createApp({ forceCloseConnections: true });
  // No route has a body, and parsing one takes much more time than receiving it.
  app.removeAllContentTypeParsers();
  serveMetrics(app, context);
  addRoutes(app, context);
  await app.ready();
  return app;
}
