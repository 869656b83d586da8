import { Pool } from 'undici';
import type { BackendServerId, Replica } from '@jujubecroft/types';

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

/**
 * Connections to replicas, one pool for each run of a replica.
 *
 * A pool belongs to one replica id, so a connection is never used for another
 * replica that got the same address.
 */
export class BackendConnections {
  #endsByReset = false;
  readonly #pools = new Map<BackendServerId, Pool>();

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
  of({ id, address }: Replica, maxConnections: number): Pool {
    const known = this.#pools.get(id);
    if (known && !known.destroyed && !known.closed) {
      return known;
    }
    const pool = new Pool(`http://${address}`, {
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
    this.#pools.set(id, pool);
    return pool;
  }

  /** Closes the pools of replicas that are no longer used. */
  keepOnly(used: ReadonlySet<BackendServerId>): void {
    [...this.#pools]
      .filter(([id]) => !used.has(id))
      .forEach(([id, pool]) => {
        this.#pools.delete(id);
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
