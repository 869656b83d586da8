import type { RequestListener, Server } from 'node:http';
import { createServer } from 'node:http';
import type {
  ClientLimitListener,
  ClientLimits,
} from '@jujubecroft/http-server';
import { CountedResponse, limitClients } from '@jujubecroft/http-server';
import { STRICT_PARSER } from '@jujubecroft/types';

import type { ListenAddress } from '../GatewaySettings.js';
import { CLIENT_TIMEOUTS } from './clientTimeouts.js';

/**
 * Serves a web application at an additional address.
 *
 * @param listener - request listener of the application
 * @param address - host and port to listen at
 * @param limits - what its clients may hold
 * @param onLimit - called before the connection of a client is closed
 * @returns the server, listening
 * @throws Error if the port is taken
 */
export async function startHttpServer(
  listener: RequestListener,
  { host, port }: ListenAddress,
  limits: ClientLimits,
  onLimit: ClientLimitListener,
): Promise<Server> {
  const server = createServer(
    { ...STRICT_PARSER, ServerResponse: CountedResponse, ...CLIENT_TIMEOUTS },
    listener,
  );
  limitClients(server, limits, onLimit);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  return server;
}
