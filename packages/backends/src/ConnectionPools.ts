import { Pool } from 'undici';
import type { BackendServer, BackendServerId } from '@jujubecroft/types';

const CONNECT_TIMEOUT_MS = 1000;
const KEEP_ALIVE_MS = 30_000;

interface Entry {
  readonly origin: string;
  readonly pool: Pool;
}

/** Connections to each backend server. */
export class ConnectionPools {
  readonly #entries = new Map<BackendServerId, Entry>();

  of(server: BackendServer): Pool {
    const { origin } = new URL(server.url);
    const known = this.#entries.get(server.id);
    if (known?.origin === origin) {
      return known.pool;
    }
    this.renew(server.id);
    const pool = new Pool(origin, {
      connectTimeout: CONNECT_TIMEOUT_MS,
      keepAliveTimeout: KEEP_ALIVE_MS,
      // Silence is judged by progress, in the decision logic.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.#entries.set(server.id, { origin, pool });
    return pool;
  }

  /**
   * Makes the next attempt use fresh connections.
   *
   * Guards against connections that went silent for good: kept-alive ones may
   * be lost like those on which the silence was seen, so none is used again.
   */
  renew(id: BackendServerId): void {
    const known = this.#entries.get(id);
    this.#entries.delete(id);
    known?.pool.close().catch(() => undefined);
  }

  async destroy(): Promise<void> {
    const pools = [...this.#entries.values()].map(({ pool }) => pool);
    this.#entries.clear();
    await Promise.all(pools.map(pool => pool.destroy()));
  }
}
