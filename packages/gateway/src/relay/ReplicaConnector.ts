import type { Socket } from 'node:net';
import type { GatewayBoard } from '@jujubecroft/decisions';
import type { Replica } from '@jujubecroft/types';

import type { SocketFactory } from '../backends/openSocket.js';
import { openSocket } from '../backends/openSocket.js';
import { ConnectionRace } from './ConnectionRace.js';
import type { RelayConnector } from './RelayConnector.js';

/** Timeout for opening a connection; a round trip takes a few milliseconds. */
const CONNECT_TIMEOUT_MS = 400;

/** What a `ReplicaConnector` uses and informs. */
export interface ReplicaConnectorOptions {
  readonly board: GatewayBoard;
  readonly relay: RelayConnector;
  /** Opens connections; `connect` of `node:net` if omitted. */
  readonly factory?: SocketFactory | undefined;
  /** Called when another instance connected to a replica and this one could not. */
  readonly onRelayed: (replica: Replica, socket: Socket) => void;
  /** Called when connections through other instances may no longer work. */
  readonly onRelayDoubtful: (replica: Replica) => void;
  /** Called when a direct connection to a replica was opened. */
  readonly onDirect: (replica: Replica) => void;
}

/**
 * Opens connections to replicas: directly, or through another instance if the
 * direct path is lost.
 *
 * No byte of a request is sent before a connection is open, so trying several
 * ways never runs a request twice.
 */
export class ReplicaConnector {
  constructor(private readonly options: ReplicaConnectorOptions) {}

  /**
   * Opens a connection to a replica. It resolves with the first connection that
   * opens; a direct one that opens later is closed, and shows that the path is
   * not lost.
   *
   * @param replica - the replica
   * @returns the open connection
   * @throws Error if neither this instance nor those that it asks can connect
   */
  connect(replica: Replica): Promise<Socket> {
    const { board, relay, onDirect, onRelayed } = this.options;
    const { direct, relayAfterMs } = board.paths.planConnection(replica);
    const startedMs = board.clock();
    const race = new ConnectionRace({
      openDirect: () => this.#openDirect(replica),
      openRelayed: signal => relay.connect(replica, signal),
      onDirect: () => {
        onDirect(replica);
      },
      onRelayed: socket => {
        onRelayed(replica, socket);
      },
      isPathAlive: () => this.#hasAnsweredSince(replica, startedMs),
    });
    return race.run(direct, relayAfterMs).catch((err: unknown) => {
      board.crashes.onUnreachable(replica);
      throw err;
    });
  }

  /** Whether the direct path to a replica is lost. */
  isPathLost(replica: Replica): boolean {
    return this.options.board.paths.isLost(replica);
  }

  /**
   * Checks the path to a replica from which nothing comes, or which reset a
   * connection. The path counts as lost afterwards if another instance reaches
   * the replica and this one doesn't.
   */
  async check(replica: Replica): Promise<void> {
    if (this.isPathLost(replica)) {
      // The instance that stands in may be the one that is silent.
      this.options.onRelayDoubtful(replica);
    }
    try {
      const socket = await this.connect(replica);
      socket.destroy();
    } catch {
      // No instance that was asked reaches the replica; its own failure.
    }
  }

  /** Tries lost paths over which connections of other instances stand in. */
  probeLostPaths(): void {
    const { board, relay } = this.options;
    board.paths
      .takeProbes(id => relay.hasConnectionsTo(id))
      .flatMap(id => board.replicas.find(id) ?? [])
      .forEach(replica => {
        this.#probe(replica);
      });
  }

  #probe(replica: Replica): void {
    const socket = this.#openDirect(replica);
    socket.once('connect', () => {
      socket.destroy();
      this.options.onDirect(replica);
    });
    socket.once('error', () => {
      this.options.board.paths.onProbeFailed(replica);
    });
  }

  #openDirect({ address }: Replica): Socket {
    return openSocket({
      address,
      timeoutMs: CONNECT_TIMEOUT_MS,
      reader: 'httpParser',
      factory: this.options.factory,
    });
  }

  #hasAnsweredSince({ id }: Replica, sinceMs: number): boolean {
    const { backends } = this.options.board;
    return (backends.get(id)?.lastByteMs ?? -Infinity) > sinceMs;
  }
}
