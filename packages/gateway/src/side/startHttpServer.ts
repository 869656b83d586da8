import type { RequestListener, Server } from 'node:http';
import { createServer } from 'node:http';

import type { ListenAddress } from '../GatewaySettings.js';

/**
 * Serves a web application at an additional address.
 *
 * @param listener - request listener of the application
 * @param address - host and port to listen at
 * @returns the server, listening
 * @throws Error if the port is taken
 */
export async function startHttpServer(
  listener: RequestListener,
  { host, port }: ListenAddress,
): Promise<Server> {
  const server = createServer(listener);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  return server;
}
