import { readFileSync } from 'node:fs';
import { Server, ServerCredentials } from '@grpc/grpc-js';
import {
  bindServer,
  OperatorService,
  PeerService,
} from '@jujubecroft/operator';
import type { InstanceSettings } from '@jujubecroft/settings';

import type { InstanceContext } from '../InstanceContext.js';
import { createOperatorHandlers } from './createOperatorHandlers.js';
import { createPeerHandlers } from './createPeerHandlers.js';

type ControlTls = InstanceSettings['controlTls'];

function createServerCredentials(tls: ControlTls): ServerCredentials {
  if (!tls) {
    return ServerCredentials.createInsecure();
  }
  const pair = {
    cert_chain: readFileSync(tls.certFile),
    private_key: readFileSync(tls.keyFile),
  };
  return ServerCredentials.createSsl(readFileSync(tls.caFile), [pair], true);
}

/** A listening gRPC server. */
export interface RunningControlServer {
  readonly port: number;
  readonly stop: () => void;
}

/**
 * Starts the gRPC server for operators and other instances.
 *
 * @param context - context of the instance
 * @returns the server and the port it listens on
 */
export async function startControlServer(
  context: InstanceContext,
): Promise<RunningControlServer> {
  const { control, controlTls } = context.settings;
  const server = new Server();
  server.addService(OperatorService, createOperatorHandlers(context));
  server.addService(PeerService, createPeerHandlers(context));
  const creds = createServerCredentials(controlTls);
  const address = `${control.host}:${control.port}`;
  const port = await bindServer(server, address, creds);
  return {
    port,
    stop: () => {
      server.forceShutdown();
    },
  };
}
