import { Pool } from 'undici';
import type { BackendServer, BackendServerId } from '@jujubecroft/types';

import { connectResetAware } from './util/connectResetAware.js';

const CONNECT_TIMEOUT_MS = 1000;
const KEEP_ALIVE_MS = 30_000;

/** A connection pool and the origin that it connects to. */
interface Entry {
  readonly origin: string;
  readonly pool: Pool;
}

/** One connection pool per backend server. */
export class ConnectionPools {
  readonly #entries = new Map<BackendServerId, Entry>();

  /** @returns the pool of a server, a new one when its origin has changed */
  poolFor(server: BackendServer): Pool {
    const { origin } = new URL(server.url);
    const known = this.#entries.get(server.id);
    if (known?.origin === origin) {
      return known.pool;
    }
    this.discardPool(server.id);
    const pool = new Pool(origin, {
      connect: connectResetAware(CONNECT_TIMEOUT_MS),
      keepAliveTimeout: KEEP_ALIVE_MS,
      // The decision logic detects silent connections by the lack of progress.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.#entries.set(server.id, { origin, pool });
    return pool;
  }

  /**
   * Discards the pool of a server, so that the next attempt opens a new connection.
   *
   * When one connection has gone silent, the idle ones of the pool may be dead as
   * well, so none of them is used again.
   */
  discardPool(id: BackendServerId): void {
    const known = this.#entries.get(id);
    this.#entries.delete(id);
    known?.pool.close().catch(() => undefined);
  }

  /** Closes all connections, also those with requests in flight. */
  async destroy(): Promise<void> {
    const pools = [...this.#entries.values()].map(({ pool }) => pool);
    this.#entries.clear();
    await Promise.all(pools.map(pool => pool.destroy()));
  }
}
