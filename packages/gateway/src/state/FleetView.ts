import type { ReplicaChange } from '@jujubecroft/decisions';
import type { CallerLimits, RoutingConfiguration } from '@jujubecroft/types';
import { formatStoreVersion } from '@jujubecroft/types';

import type { GatewayContext } from '../GatewayContext.js';

/** Called when the view has changed in a way that peers must learn of immediately. */
export type UrgentChangeListener = () => void;

/**
 * Changes that are announced to peers immediately; others travel with the heartbeats.
 */
const URGENT_CHANGES: readonly ReplicaChange['kind'][] = [
  'gone',
  'leaving',
  'added',
  'restarted',
];

/**
 * Longest time between two complete lists of the replicas, in heartbeat intervals, in which
 * no replica can have come and gone: an entry exists for three intervals at least.
 */
const MAX_GAP_INTERVALS = 2;

/**
 * Applies configurations and replica changes to this instance, whatever their source.
 *
 * Updates from the store and from peers both pass through here, so that each change is
 * applied, logged and announced in one place.
 */
export class FleetView {
  readonly #listeners: UrgentChangeListener[] = [];

  /**
   * @param context - context of the instance
   * @param onLimits - called with the caller limits of each new configuration
   */
  constructor(
    private readonly context: GatewayContext,
    private readonly onLimits: (limits: CallerLimits) => void,
  ) {}

  /** Registers a listener for changes that peers must learn of immediately. */
  onUrgentChange(listener: UrgentChangeListener): void {
    this.#listeners.push(listener);
  }

  /**
   * Applies a configuration and records when it was known to be the newest.
   *
   * @param cfg - the configuration; null if the known one was confirmed instead
   * @param asOfMs - time on the store's clock at which it was the newest, in
   *   milliseconds
   * @param source - where it came from, for the log: `store` or the id of a peer
   */
  applyConfiguration(
    cfg: RoutingConfiguration | null,
    asOfMs: number,
    source: string,
  ): void {
    const { router, log, metrics } = this.context;
    if (cfg && router.configure(cfg)) {
      this.onLimits(cfg.limits);
      router.syncReplicas();
      metrics.version.set(cfg.version);
      log.write('configurationInForce', {
        version: cfg.version,
        routes: cfg.routes.length,
        source,
      });
      this.#notifyListeners();
    }
    const { board } = router;
    const isNewest = !cfg || cfg.version === board.table?.cfg.version;
    if (isNewest && asOfMs > board.configurationAsOfMs) {
      board.configurationAsOfMs = asOfMs;
    }
  }

  /**
   * Records which source has confirmed the view of the replicas.
   *
   * @param asOfMs - time on the store's clock at which the view was current before, in
   *   milliseconds
   * @param source - `store` or the id of a peer
   */
  noteConfirmation(asOfMs: number, source: string): void {
    const { board } = this.context.router;
    if (board.replicas.asOfMs > asOfMs) {
      board.replicasConfirmedBy = source;
    }
  }

  /**
   * Updates routing and connections after replicas changed in the registry.
   *
   * @param changes - changes that the registry has already applied
   * @param source - where they came from, for the log
   */
  applyReplicaChanges(changes: readonly ReplicaChange[], source: string): void {
    this.#logReplicaChanges(changes, source);
    this.#useReplicaChanges(changes);
  }

  /**
   * Does the same after the registry took over all replicas.
   *
   * The added ones are logged as a number only: an instance that starts would use up
   * the log's limit with them, and removals in its first second would be left out.
   *
   * @param changes - changes that the registry has already applied
   * @param source - where they came from, for the log
   * @param beforeMs - time on the store's clock at which the view was current before
   */
  applyAllReplicas(
    changes: readonly ReplicaChange[],
    source: string,
    beforeMs: number,
  ): void {
    const { replicas, versions } = this.context.router.board;
    const gapMs = replicas.asOfMs - beforeMs;
    if (gapMs > MAX_GAP_INTERVALS * this.context.settings.heartbeatMs) {
      versions.restart(replicas.replicas);
    }
    const others = changes.filter(({ kind }) => kind !== 'added');
    this.context.log.write('replicasReloaded', {
      source,
      replicasVersion: formatStoreVersion(replicas.version),
      replicas: replicas.replicas.length,
      added: changes.length - others.length,
    });
    this.#logReplicaChanges(others, source);
    this.#useReplicaChanges(changes);
  }

  #logReplicaChanges(changes: readonly ReplicaChange[], source: string): void {
    changes.forEach(({ id, kind, rowVersion }) => {
      this.context.log.write('replicaChanged', {
        backendServer: id,
        change: kind,
        rowVersion: formatStoreVersion(rowVersion),
        source,
      });
    });
  }

  #useReplicaChanges(changes: readonly ReplicaChange[]): void {
    if (changes.length === 0) {
      return;
    }
    const { router, connections } = this.context;
    router.syncReplicas();
    connections.keepOnly(
      [...router.board.backends.values()].map(({ replica }) => replica),
    );
    if (changes.some(({ kind }) => URGENT_CHANGES.includes(kind))) {
      this.#notifyListeners();
    }
  }

  #notifyListeners(): void {
    this.#listeners.forEach(listener => {
      listener();
    });
  }
}
