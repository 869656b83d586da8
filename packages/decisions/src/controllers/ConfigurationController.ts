import type { BackendServer, Configuration } from '@jujubecroft/types';

import type { BackendView } from '../blackboard/BackendView.js';
import { createBackendView } from '../blackboard/BackendView.js';
import type { Blackboard, Placement } from '../blackboard/Blackboard.js';
import { indexEntities } from '../blackboard/Blackboard.js';
import type { Target } from '../blackboard/RoutedRequest.js';
import { evenSubset } from '../subset/evenSubset.js';
import { poolKey } from '../util/poolKey.js';

/** Lower bound of the initial concurrency limit on a server. */
const MIN_INITIAL_LIMIT = 2;
/**
 * Minimum number of servers that one instance uses per pool, if the pool has that many. It
 * leaves a choice of servers even when a failure domain is lost and a server is a straggler.
 */
const MIN_SUBSET = 4;

function targetsOf(server: BackendServer): readonly Target[] {
  return [
    ...server.models.map(model => ({ kind: 'engine' as const, model })),
    ...server.services.map(service => ({ kind: 'service' as const, service })),
  ];
}

function serversByPool(
  servers: readonly BackendServer[],
): ReadonlyMap<string, readonly BackendServer[]> {
  const pools = new Map<string, BackendServer[]>();
  servers
    .flatMap(server =>
      targetsOf(server).map(target => ({ server, key: poolKey(target) })),
    )
    .forEach(({ server, key }) => {
      const members = pools.get(key);
      if (members) {
        members.push(server);
        return;
      }
      pools.set(key, [server]);
    });
  return pools;
}

/** Updates the blackboard when the configuration or the fleet changes. */
export class ConfigurationController {
  /**
   * @param board - the blackboard
   * @param subsetSize - maximum number of servers that one instance uses per pool
   * @param serverBudget - number of servers that one instance uses over all pools;
   *   exceeded if a pool would otherwise have too few servers
   */
  constructor(
    private readonly board: Blackboard,
    private readonly subsetSize: number,
    private readonly serverBudget: number,
  ) {}

  /**
   * Applies a configuration unless the same or a newer one is already in force.
   *
   * Guards against a stale table reply, peer or snapshot that would revert an accepted
   * change: revisions only increase, so an equal or lower one is ignored.
   *
   * @param cfg - the configuration
   * @returns whether the configuration was applied
   */
  configure(cfg: Configuration): boolean {
    if (cfg.revision <= this.board.cfg.revision) {
      return false;
    }
    this.board.cfg = cfg;
    this.board.declared = indexEntities(cfg);
    this.board.limits.configure(cfg.organisations, this.board.clock());
    this.#rebuild();
    return true;
  }

  /** Applies a change of the identity of this instance or of the live instances. */
  setPlacement(placement: Placement): void {
    this.board.placement = placement;
    this.#rebuild();
  }

  #rebuild(): void {
    const { board } = this;
    this.#dropRemoved();
    board.pools.clear();
    const pools = serversByPool(board.cfg.backendServers);
    const share = Math.floor(this.serverBudget / Math.max(1, pools.size));
    const size = Math.min(this.subsetSize, Math.max(MIN_SUBSET, share));
    pools.forEach((servers, key) => {
      const subset = evenSubset(
        servers,
        board.placement.instances,
        board.placement.instance,
        size,
      );
      const users =
        (board.placement.instances.length * subset.length) / servers.length;
      board.pools.set(
        key,
        subset.map(server => this.#viewOf(server, users)),
      );
    });
  }

  #viewOf(server: BackendServer, users: number): BackendView {
    const known = this.board.backends.get(server.id);
    if (known) {
      known.server = server;
      return known;
    }
    const share = server.capacity / Math.max(1, users);
    const view = createBackendView(server, Math.max(MIN_INITIAL_LIMIT, share));
    this.board.backends.set(server.id, view);
    return view;
  }

  /**
   * Removes the views of servers that are no longer declared. A server with requests in
   * flight is marked as leaving and keeps its view until the last request has ended.
   */
  #dropRemoved(): void {
    const { backends, cfg } = this.board;
    const declared = new Set(cfg.backendServers.map(({ id }) => id));
    [...backends.values()]
      .filter(view => !declared.has(view.server.id))
      .forEach(view => {
        view.server = { ...view.server, leaving: true };
        if (view.inFlight === 0) {
          backends.delete(view.server.id);
        }
      });
  }
}
