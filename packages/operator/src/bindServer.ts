import type { Server, ServerCredentials } from '@grpc/grpc-js';

/**
 * Binds a gRPC server to an address and starts listening.
 *
 * @param server - the server, with its services added
 * @param address - host and port; port 0 selects a free port
 * @param creds - insecure or TLS credentials
 * @returns the port on which the server listens
 * @throws Error when the address cannot be bound
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
