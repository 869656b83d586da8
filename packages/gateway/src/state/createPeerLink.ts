import type { IncomingMessage, Server } from 'node:http';
import type { Socket } from 'node:net';
import type { FastifyInstance } from 'fastify';

import type { ListenAddress } from '../GatewaySettings.js';
import type { PeerLink } from '../ports/PeerLink.js';
import { createPeerServer } from './createPeerServer.js';
import { PeerSocket } from './PeerSocket.js';
import { pullState } from './pullState.js';

/** Handles a request for a tunnel, which takes over its connection. */
export type TunnelListener = (req: IncomingMessage, socket: Socket) => void;

/**
 * Creates the link to other instances: a datagram socket, and an HTTP server for state
 * that is too large for a datagram.
 *
 * @param address - address at which this instance listens for both
 * @param onTunnel - called with requests of other instances for a connection to a replica
 * @param limit - limits what the clients of the server may hold
 * @returns the link, not yet listening
 */
export function createPeerLink(
  address: ListenAddress,
  onTunnel: TunnelListener,
  limit: (server: Server) => void,
): PeerLink {
  let server: FastifyInstance | null = null;
  let socket: PeerSocket | null = null;
  return {
    listen: async ({ onDatagram, onPull, onSendError }) => {
      server = createPeerServer(onPull);
      server.server.on('connect', onTunnel);
      limit(server.server);
      socket = new PeerSocket(onDatagram, onSendError);
      await server.listen({ host: address.host, port: address.port });
      await socket.listen(address);
    },
    send: (bytes, to) => {
      socket?.send(bytes, to);
    },
    pull: pullState,
    close: async () => {
      socket?.close();
      await server?.close();
    },
  };
}
