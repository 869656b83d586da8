import type { Server } from 'node:net';

/**
 * Makes a server listen and waits until it does.
 *
 * @param server - server that is not listening yet
 * @param host - address to listen on
 * @param port - port to listen on; 0 selects any free port
 * @returns the actual port
 * @throws Error if listening fails, for example because the port is in use
 */
export async function listenOn(
  server: Server,
  host: string,
  port = 0,
): Promise<number> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  const address = server.address();
  return typeof address === 'object' ? (address?.port ?? 0) : 0;
}
