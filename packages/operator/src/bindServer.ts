import type { Server, ServerCredentials } from '@grpc/grpc-js';

/**
 * Lets a gRPC server listen.
 *
 * @param server - with its services
 * @param address - host and port; port 0 takes any
 * @param creds - plain or TLS
 * @returns the port
 * @throws Error when the port is taken
 */
export function bindServer(
  server: Server,
  address: string,
  creds: ServerCredentials,
): Promise<number> {
  return new Promise((resolve, reject) => {
    server.bindAsync(address, creds, (err, port) => {
      if (err) {
        reject(err);
        return;
      }
      resolve(port);
    });
  });
}
