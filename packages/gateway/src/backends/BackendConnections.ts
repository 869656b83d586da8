import { Pool } from 'undici';
import type { Replica } from '@jujubecroft/types';

import { connectWithin } from './connectWithin.js';

/** Bound on opening a connection; a round trip takes a few milliseconds. */
const CONNECT_TIMEOUT_MS = 400;
/** Idle time of a connection whose replica states none, in milliseconds. */
const IDLE_MS = 900;
/** Connections are given up this long before the replica says that it closes them. */
const IDLE_MARGIN_MS = 1000;
const MAX_IDLE_MS = 60_000;
const MAX_HEAD_BYTES = 64 * 1024;
/** Time that the last answers have when a replica is gone, in milliseconds. */
const CLOSE_AFTER_MS = 30_000;

/** Names one run of a replica at one address. */
function runKey({ id, address, bornMs }: Replica): string {
  return `${id} ${address} ${bornMs ?? ''}`;
}

/**
 * Connections to replicas, one pool for each run of a replica.
 *
 * A pool belongs to one run of one replica, so a connection is never used for
 * another replica that got the same address, or for a replica that started again.
 */
export class BackendConnections {
  #endsByReset = false;
  readonly #pools = new Map<string, Pool>();

  /**
   * Whether the end that the HTTP client is telling of right now is a reset.
   *
   * The client knows an answer's connection but doesn't name it. It tells of an
   * end while the connection's own event is handled, so a mark that lasts for
   * that one event belongs to the answer at hand.
   */
  get endsByReset(): boolean {
    return this.#endsByReset;
  }

  /** @returns the pool of a replica, opened at first use */
  of(replica: Replica, maxConnections: number): Pool {
    const key = runKey(replica);
    const known = this.#pools.get(key);
    if (known && !known.destroyed && !known.closed) {
      return known;
    }
    const pool = new Pool(`http://${replica.address}`, {
      connections: maxConnections,
      pipelining: 1,
      connect: connectWithin(CONNECT_TIMEOUT_MS, () => {
        this.#onResetAtEnd();
      }),
      keepAliveTimeout: IDLE_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      keepAliveMaxTimeout: MAX_IDLE_MS,
      // Requests have deadlines of their own.
      headersTimeout: 0,
      bodyTimeout: 0,
      maxHeaderSize: MAX_HEAD_BYTES,
    });
    this.#pools.set(key, pool);
    return pool;
  }

  /** Closes the pools of replicas that are no longer used. */
  keepOnly(replicas: readonly Replica[]): void {
    const used = new Set(replicas.map(runKey));
    [...this.#pools]
      .filter(([key]) => !used.has(key))
      .forEach(([key, pool]) => {
        this.#pools.delete(key);
        void pool.close();
        setTimeout(() => void pool.destroy(), CLOSE_AFTER_MS).unref();
      });
  }

  #onResetAtEnd(): void {
    this.#endsByReset = true;
    queueMicrotask(() => {
      this.#endsByReset = false;
    });
  }

  /** Drops all connections. */
  async destroy(): Promise<void> {
    await Promise.all([...this.#pools.values()].map(pool => pool.destroy()));
    this.#pools.clear();
  }
}
