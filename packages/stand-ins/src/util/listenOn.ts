import type { Server } from 'node:net';

/**
 * Lets a server listen, on any free port where none is named.
 *
 * @param server - not listening yet
 * @param host - address to listen on
 * @param port - 0 for any
 * @returns the port
 * @throws Error when the port is taken
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
