import type { IncomingMessage } from 'node:http';
import { request } from 'node:http';
import type { Socket } from 'node:net';
import type { Replica } from '@jujubecroft/types';
import { STRICT_PARSER } from '@jujubecroft/types';

import { checkHeads, malformedHead } from '../responses/checkHeads.js';
import { BACKEND_SERVER_HEADER, TUNNEL_HEADER } from './tunnelHeaders.js';

/** Time for the other instance to connect and answer, in milliseconds. */
const TUNNEL_TIMEOUT_MS = 300;
const OK = 200;

/** The other instance refused a tunnel or could not connect. */
export class TunnelError extends Error {
  /** @param status - status that the other instance answered with */
  constructor(readonly status: number) {
    super(`tunnel refused with status ${status}`);
  }
}

/** A tunnel to be opened. */
export interface TunnelTarget {
  /** Host and port of the other instance. */
  readonly peerAddress: string;
  readonly replica: Replica;
  /** Id of the tunnel in the logs of both instances. */
  readonly tunnel: string;
  /** Aborts the attempt. */
  readonly signal: AbortSignal;
}

/**
 * Opens a connection to a replica through another instance, by the method
 * `CONNECT` (RFC 9110, section 9.3.6).
 *
 * @param target - the instance and the replica
 * @returns the connection; what is written to it reaches the replica
 * @throws TunnelError if the instance refuses or can't connect
 * @throws Error if it does not answer in time
 */
export function openTunnel({
  peerAddress,
  replica,
  tunnel,
  signal,
}: TunnelTarget): Promise<Socket> {
  const [host, port] = peerAddress.split(':');
  return new Promise((resolve, reject) => {
    const req = request({
      ...STRICT_PARSER,
      host,
      port,
      method: 'CONNECT',
      path: replica.address,
      headers: {
        [BACKEND_SERVER_HEADER]: replica.id,
        [TUNNEL_HEADER]: tunnel,
      },
      agent: false,
      signal: AbortSignal.any([signal, AbortSignal.timeout(TUNNEL_TIMEOUT_MS)]),
    });
    const isHeadRead = checkHeads(req, err => {
      reject(err);
      // An error would have no listener if the parser takes the head for that of a tunnel.
      req.destroy();
    });
    req.once('error', reject);
    req.once(
      'connect',
      (res: IncomingMessage, socket: Socket, head: Buffer) => {
        if (!isHeadRead()) {
          socket.destroy();
          reject(malformedHead());
          return;
        }
        if (res.statusCode !== OK) {
          socket.destroy();
          reject(new TunnelError(res.statusCode ?? 0));
          return;
        }
        socket.setNoDelay(true);
        if (head.length > 0) {
          socket.unshift(head);
        }
        resolve(socket);
      },
    );
    req.end();
  });
}
