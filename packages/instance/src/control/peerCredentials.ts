import { readFileSync } from 'node:fs';
import type { ChannelCredentials } from '@grpc/grpc-js';
import { credentials } from '@grpc/grpc-js';
import type { InstanceSettings } from '@jujubecroft/settings';

/**
 * Credentials for calls to other instances.
 *
 * @param tls - files of the mutual TLS, or undefined for plain connections
 * @returns credentials for the gRPC library
 */
export function peerCredentials(
  tls: InstanceSettings['controlTls'],
): ChannelCredentials {
  return tls
    ? credentials.createSsl(
        readFileSync(tls.caFile),
        readFileSync(tls.keyFile),
        readFileSync(tls.certFile),
      )
    : credentials.createInsecure();
}
