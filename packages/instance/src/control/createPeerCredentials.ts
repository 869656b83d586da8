import { readFileSync } from 'node:fs';
import type { ChannelCredentials } from '@grpc/grpc-js';
import { credentials } from '@grpc/grpc-js';
import type { InstanceSettings } from '@jujubecroft/settings';

/**
 * Creates the credentials for calls to other instances.
 *
 * @param tls - certificate files for mutual TLS; undefined for plaintext
 * @returns credentials for the gRPC library
 */
export function createPeerCredentials(
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
