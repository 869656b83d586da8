import { readFileSync } from 'node:fs';
import { Server, ServerCredentials } from '@grpc/grpc-js';
import {
  bindServer,
  OperatorService,
  PeerService,
} from '@jujubecroft/operator';
import type { InstanceSettings } from '@jujubecroft/settings';

import type { InstanceContext } from '../InstanceContext.js';
import { operatorHandlers } from './operatorHandlers.js';
import { peerHandlers } from './peerHandlers.js';

type ControlTls = InstanceSettings['controlTls'];

function serverCredentials(tls: ControlTls): ServerCredentials {
  if (!tls) {
    return ServerCredentials.createInsecure();
  }
  const pair = {
    cert_chain: readFileSync(tls.certFile),
    private_key: readFileSync(tls.keyFile),
  };
  return ServerCredentials.createSsl(readFileSync(tls.caFile), [pair], true);
}

/** A gRPC server that was started. */
export interface RunningControlServer {
  readonly port: number;
  readonly stop: () => void;
}

/**
 * Starts the gRPC server for operators and other instances.
 *
 * @param context - of the instance
 * @returns the server with the port that it took
 */
export async function startControlServer(
  context: InstanceContext,
): Promise<RunningControlServer> {
  const { control, controlTls } = context.settings;
  const server = new Server();
  server.addService(OperatorService, operatorHandlers(context));
  server.addService(PeerService, peerHandlers(context));
  const creds = serverCredentials(controlTls);
  const address = `${control.host}:${control.port}`;
  const port = await bindServer(server, address, creds);
  return {
    port,
    stop: () => {
      server.forceShutdown();
    },
  };
}
