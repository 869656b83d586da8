import type { Server as HttpServer } from 'node:http';
import type { Socket } from 'node:net';
import { createServer } from 'node:net';

/** Connections of callers that were accepted before the server was ready. */
export interface EarlyConnections {
  /**
   * Hands the listening socket and the accepted connections over to a server.
   */
  readonly handOver: (server: HttpServer) => Promise<void>;
}

/** Connections that are accepted; later ones are closed until the server is ready. */
const MAX_CONNECTIONS = 1000;

/**
 * Listens before the code that serves requests is loaded.
 *
 * After a failure of all instances, callers find every address closed, retry
 * once and give up. Connections that are accepted and paused for the few
 * hundred milliseconds of loading are served late instead of being refused.
 *
 * @param host - IP address to listen on
 * @param port - port for callers
 * @param onFailed - called if the address cannot be listened on
 * @returns the accepted connections
 */
export function acceptEarlyConnections(
  host: string,
  port: number,
  onFailed: (err: Error) => void,
): EarlyConnections {
  const waiting: Socket[] = [];
  const listener = createServer({ pauseOnConnect: true, noDelay: true });
  const hold = (socket: Socket): void => {
    waiting.push(socket);
  };
  // The settings are not validated yet, so that the limits of the machine are unknown.
  listener.maxConnections = MAX_CONNECTIONS;
  listener.on('connection', hold);
  listener.once('error', onFailed);
  listener.listen(port, host);
  return {
    handOver: async server => {
      await new Promise<void>((resolve, reject) => {
        server.once('error', reject);
        server.listen(listener, resolve);
      });
      waiting.splice(0).forEach(socket => {
        server.emit('connection', socket);
        socket.resume();
      });
    },
  };
}
