import type { RequestListener, Server } from 'node:http';
import { createServer } from 'node:http';

import type { ListenAddress } from '../GatewaySettings.js';

/**
 * Serves one web application at a further address.
 *
 * @param listener - of the application
 * @param address - host and port; the port of null settings is left out
 * @returns the server, listening
 */
export async function listenRaw(
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
