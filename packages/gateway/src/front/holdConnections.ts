import type { Server as HttpServer } from 'node:http';
import type { Socket } from 'node:net';
import { createServer } from 'node:net';

/** Connections of callers that wait for the server behind to be ready. */
export interface HeldConnections {
  /** Lets a server take over the address and the connections that wait. */
  readonly handTo: (server: HttpServer) => Promise<void>;
}

/**
 * Listens before anything that could answer is loaded.
 *
 * Guards against turning callers away while an instance starts: after a loss of
 * all instances they find nobody at any address, try once more and give up. Held
 * for the few hundred milliseconds that the program takes to load, their requests
 * are served late instead of never.
 *
 * @param host - IP address of this instance
 * @param port - for callers
 * @param onFailed - told where the address can't be listened at
 * @returns the connections that come meanwhile
 */
export function holdConnections(
  host: string,
  port: number,
  onFailed: (err: Error) => void,
): HeldConnections {
  const waiting: Socket[] = [];
  const door = createServer({ pauseOnConnect: true, noDelay: true });
  const keep = (socket: Socket): void => {
    waiting.push(socket);
  };
  door.on('connection', keep);
  door.once('error', onFailed);
  door.listen(port, host);
  return {
    handTo: async server => {
      await new Promise<void>((resolve, reject) => {
        server.once('error', reject);
        server.listen(door, resolve);
      });
      waiting.splice(0).forEach(socket => {
        server.emit('connection', socket);
        socket.resume();
      });
    },
  };
}
