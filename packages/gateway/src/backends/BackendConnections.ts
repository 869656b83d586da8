import type { Socket } from 'node:net';
import type { Replica } from '@jujubecroft/types';

import type { RelayConnector } from '../relay/RelayConnector.js';
import type { ReplicaConnector } from '../relay/ReplicaConnector.js';
import type { RelayedConnection } from '../relay/RelayedConnection.js';
import { runKeyOf } from '../relay/runKeyOf.js';

import { KeepAliveAgent } from './KeepAliveAgent.js';

/** Time for the last responses of a removed replica to finish. */
const DRAIN_TIMEOUT_MS = 30_000;

/** Connections to one run of a replica. */
export interface BackendPool {
  readonly host: string;
  readonly port: number;
  readonly agent: KeepAliveAgent;
  /** Returns how a connection is relayed; null if it is direct. */
  readonly relayOf: (socket: Socket) => RelayedConnection | null;
}

/** What opens the connections to replicas. */
export interface ReplicaConnectors {
  readonly replicas: Pick<ReplicaConnector, 'connect' | 'isPathLost'>;
  readonly relay: Pick<RelayConnector, 'isUsable' | 'openCount' | 'relayOf'>;
}

function createPool(
  replica: Replica,
  maxConnections: number,
  { replicas, relay }: ReplicaConnectors,
): BackendPool {
  const [host = '', port = ''] = replica.address.split(':');
  const agent = new KeepAliveAgent({
    maxConnections,
    open: () => replicas.connect(replica),
    mayKeep: socket =>
      relay.relayOf(socket) === null ||
      (relay.isUsable(socket) && replicas.isPathLost(replica)),
  });
  return {
    host,
    port: Number(port),
    agent,
    relayOf: socket => relay.relayOf(socket),
  };
}

/**
 * Connections to replicas, with one pool for each run of a replica.
 *
 * A separate pool ensures that a connection is never reused for another replica
 * that was given the same address, or for a replica that has restarted.
 */
export class BackendConnections {
  readonly #pools = new Map<string, BackendPool>();

  /** @param connectors - open the connections */
  constructor(private readonly connectors: ReplicaConnectors) {}

  /**
   * Returns the pool of a replica and creates it on first use.
   *
   * @param replica - one run of a replica
   * @param maxConnections - limit from now on. The share of one instance
   *   changes with the number of instances; under an outdated limit, requests
   *   would wait although a connection is permitted.
   */
  poolFor(replica: Replica, maxConnections: number): BackendPool {
    const key = runKeyOf(replica);
    const existing = this.#pools.get(key);
    if (existing) {
      existing.agent.maxSockets = maxConnections;
      return existing;
    }
    const pool = createPool(replica, maxConnections, this.connectors);
    this.#pools.set(key, pool);
    return pool;
  }

  /** Closes the pools of all replicas except the given ones. */
  keepOnly(replicas: readonly Replica[]): void {
    const used = new Set(replicas.map(runKeyOf));
    [...this.#pools]
      .filter(([key]) => !used.has(key))
      .forEach(([key, { agent }]) => {
        this.#pools.delete(key);
        agent.close();
        setTimeout(() => {
          agent.destroy();
        }, DRAIN_TIMEOUT_MS).unref();
      });
  }

  /** Closes the idle connections to a replica, whose path is doubtful. */
  closeIdle(replica: Replica): void {
    this.#pools.get(runKeyOf(replica))?.agent.closeIdle();
  }

  /** Closes the idle connections to a replica that go through other instances. */
  closeRelayed(replica: Replica): void {
    const { relay } = this.connectors;
    this.#pools
      .get(runKeyOf(replica))
      ?.agent.closeIdle(socket => relay.relayOf(socket) !== null);
  }

  /** Closes idle connections through instances that no longer serve. */
  closeUnusable(): void {
    const { relay } = this.connectors;
    if (relay.openCount > 0) {
      this.#pools.forEach(({ agent }) => {
        agent.closeIdle(socket => !relay.isUsable(socket));
      });
    }
  }

  /** Closes all connections at once. */
  destroy(): void {
    this.#pools.forEach(({ agent }) => {
      agent.destroy();
    });
    this.#pools.clear();
  }
}
