import type { Replica } from '@jujubecroft/types';

import { KeepAliveAgent } from './KeepAliveAgent.js';
import type { SocketFactory } from './openSocket.js';

/** Timeout for opening a connection; a round trip takes a few milliseconds. */
const CONNECT_TIMEOUT_MS = 400;
/** Time for the last responses of a removed replica to finish. */
const DRAIN_TIMEOUT_MS = 30_000;

/** Connections to one run of a replica. */
export interface BackendPool {
  readonly host: string;
  readonly port: number;
  readonly agent: KeepAliveAgent;
}

/** Key of one run of a replica at one address. */
function poolKey({ id, address, bornMs }: Replica): string {
  return `${id} ${address} ${bornMs ?? ''}`;
}

function createPool(
  { address }: Replica,
  maxConnections: number,
  factory: SocketFactory | undefined,
): BackendPool {
  const [host = '', port = ''] = address.split(':');
  const agent = new KeepAliveAgent({
    maxConnections,
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    factory,
  });
  return { host, port: Number(port), agent };
}

/**
 * Connections to replicas, with one pool for each run of a replica.
 *
 * A separate pool ensures that a connection is never reused for another replica
 * that was given the same address, or for a replica that has restarted.
 */
export class BackendConnections {
  readonly #pools = new Map<string, BackendPool>();

  /** @param factory - opens connections; `connect` of `node:net` if omitted */
  constructor(private readonly factory?: SocketFactory) {}

  /**
   * Returns the pool of a replica and creates it on first use.
   *
   * @param replica - one run of a replica
   * @param maxConnections - limit from now on. The share of one instance
   *   changes with the number of instances; under an outdated limit, requests
   *   would wait although a connection is permitted.
   */
  poolFor(replica: Replica, maxConnections: number): BackendPool {
    const key = poolKey(replica);
    const existing = this.#pools.get(key);
    if (existing) {
      existing.agent.maxSockets = maxConnections;
      return existing;
    }
    const pool = createPool(replica, maxConnections, this.factory);
    this.#pools.set(key, pool);
    return pool;
  }

  /** Closes the pools of all replicas except the given ones. */
  keepOnly(replicas: readonly Replica[]): void {
    const used = new Set(replicas.map(poolKey));
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

  /** Closes all connections at once. */
  destroy(): void {
    this.#pools.forEach(({ agent }) => {
      agent.destroy();
    });
    this.#pools.clear();
  }
}
