import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import type { BackendServerId, Replica } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import { endedByReset } from '../backends/endedByReset.js';
import type { SocketFactory } from '../backends/openSocket.js';
import { openSocket } from '../backends/openSocket.js';
import type { GatewayContext } from '../GatewayContext.js';
import { BACKEND_SERVER_HEADER, TUNNEL_HEADER } from './tunnelHeaders.js';

/**
 * Timeout for connecting to a replica for another instance; shorter than that
 * instance waits, so that it learns the reason.
 */
const CONNECT_TIMEOUT_MS = 200;
/** Maximum number of tunnels; each has two connections. */
const MAX_TUNNELS = 500;
const CONNECTED = 'HTTP/1.1 200 Connection Established\r\n\r\n';

/** Reasons for which a tunnel is refused, with the status and the text of the answer. */
const REFUSALS = {
  leaving: '503 Leaving',
  pathLost: '503 Path Lost',
  tooMany: '503 Too Many Tunnels',
  unknownReplica: '404 Unknown Backend Server',
  unreachable: '502 Backend Server Unreachable',
} as const;

type Refusal = keyof typeof REFUSALS;

function headerText(req: IncomingMessage, name: string): string {
  const value = req.headers[name];
  return typeof value === 'string' ? value : '';
}

/**
 * Ends a tunnel as the replica ended the connection: a reset stays a reset, so
 * that an answer that was cut off does not look complete.
 */
function relayEnd(from: Socket, to: Socket): void {
  from.once('error', () => {
    to.resetAndDestroy();
  });
  from.prependOnceListener('end', () => {
    if (endedByReset(from)) {
      to.resetAndDestroy();
    }
  });
}

/**
 * Connects other instances to replicas that they can't reach themselves.
 *
 * Only connections to replicas in use are opened, and always directly, so
 * that a request passes one other instance at most. Whatever is decided about a
 * request is decided by the instance that has it.
 */
export class TunnelServer {
  readonly #tunnels = new Set<Socket>();

  /**
   * @param context - shared parts of the instance
   * @param factory - opens connections; `connect` of `node:net` if omitted
   */
  constructor(
    private readonly context: GatewayContext,
    private readonly factory?: SocketFactory,
  ) {}

  /** Number of open tunnels. */
  get count(): number {
    return this.#tunnels.size;
  }

  /** Handles a request for a tunnel. */
  readonly handle = (req: IncomingMessage, socket: Socket): void => {
    socket.once('error', () => {
      socket.destroy();
    });
    const replica = this.#findReplica(req);
    const refusal = this.#refusalFor(replica);
    if (refusal !== null || replica === null) {
      this.#refuse(req, socket, refusal ?? 'unknownReplica');
      return;
    }
    this.#connect(req, socket, replica);
  };

  /** Resets all tunnels. */
  close(): void {
    this.#tunnels.forEach(socket => {
      socket.resetAndDestroy();
    });
  }

  #countTunnels(): void {
    this.context.metrics.tunnels.set({ role: 'carried' }, this.#tunnels.size);
  }

  #findReplica(req: IncomingMessage): Replica | null {
    const id = brand<BackendServerId>(headerText(req, BACKEND_SERVER_HEADER));
    const replica = this.context.router.board.replicas.find(id);
    return replica !== undefined &&
      replica.address === req.url &&
      !replica.leaving
      ? replica
      : null;
  }

  #refusalFor(replica: Replica | null): Refusal | null {
    const { leaving, router } = this.context;
    if (leaving) {
      return 'leaving';
    }
    if (this.#tunnels.size >= MAX_TUNNELS) {
      return 'tooMany';
    }
    return replica && router.board.paths.isLost(replica) ? 'pathLost' : null;
  }

  #refuse(req: IncomingMessage, socket: Socket, refusal: Refusal): void {
    this.context.log.write('tunnelRefused', {
      tunnel: headerText(req, TUNNEL_HEADER),
      backendServer: headerText(req, BACKEND_SERVER_HEADER),
      reason: refusal,
    });
    socket.write(`HTTP/1.1 ${REFUSALS[refusal]}\r\nContent-Length: 0\r\n\r\n`);
    socket.destroySoon();
  }

  #connect(req: IncomingMessage, socket: Socket, replica: Replica): void {
    const upstream = openSocket({
      address: replica.address,
      timeoutMs: CONNECT_TIMEOUT_MS,
      reader: 'stream',
      factory: this.factory,
    });
    const refuse = (): void => {
      this.#refuse(req, socket, 'unreachable');
    };
    upstream.once('error', refuse);
    socket.once('close', () => {
      upstream.destroy();
    });
    upstream.once('connect', () => {
      upstream.off('error', refuse);
      this.#open(socket, upstream);
      this.context.log.write('tunnelOpened', {
        tunnel: headerText(req, TUNNEL_HEADER),
        backendServer: replica.id,
      });
    });
  }

  #open(socket: Socket, upstream: Socket): void {
    this.#tunnels.add(socket);
    this.#countTunnels();
    socket.once('close', () => {
      this.#tunnels.delete(socket);
      this.#countTunnels();
    });
    socket.setNoDelay(true);
    socket.write(CONNECTED);
    relayEnd(upstream, socket);
    relayEnd(socket, upstream);
    // The other instance closes a connection to withdraw its request.
    socket.once('end', () => {
      upstream.destroy();
    });
    upstream.once('close', () => {
      socket.destroySoon();
    });
    upstream.pipe(socket);
    socket.pipe(upstream);
  }
}
