import { rankOf, storeReadAgeMs } from '@jujubecroft/decisions';
import { eraOf } from '@jujubecroft/types';

import type { GatewayContext } from '../GatewayContext.js';
import type {
  ConfigurationRead,
  DiscoveryStore,
  ReplicaRead,
} from '../ports/DiscoveryStore.js';
import { HISTORY_GONE } from '../ports/DiscoveryStore.js';
import type { FleetView } from './FleetView.js';

/**
 * Maximum duration of one watch for a new configuration, in milliseconds. It bounds the
 * time lost to a silent connection, as the view must not be older than two seconds.
 */
const WATCH_TIMEOUT_MS = 900;
/**
 * Interval between reads of the replicas, as a share of the time within which a change
 * must take effect. They are polled, since their entries change several times a second.
 */
const REPLICA_READ_INTERVAL_SHARE = 0.275;
/** Maximum interval, so that leaving replicas are known in time, in milliseconds. */
const MAX_REPLICA_READ_INTERVAL_MS = 1100;
/** Bounds on the interval between checks whether a read is due, in milliseconds. */
const MIN_IDLE_MS = 50;
const MAX_IDLE_MS = 500;
/**
 * Delay after a failed call, in milliseconds. It grows with the instance's rank, to
 * limit the load on a store that is unavailable.
 */
const RETRY_DELAY_MS = 250;
const RETRY_DELAY_PER_RANK_MS = 50;
const MAX_RETRY_DELAY_MS = 1000;
/**
 * Time of consecutive failures that counts as an outage of the store, in milliseconds,
 * if no other instance could read either.
 */
const MIN_OUTAGE_MS = 800;
/**
 * Shortest outage after which entries of live replicas may have expired, in heartbeat
 * intervals. They expire after three, and the last one may have come an interval before
 * the outage.
 */
const MIN_LAPSE_INTERVALS = 2;
/**
 * Time for live replicas to renew their entries after an outage, in milliseconds. The
 * platform states about two seconds.
 */
const RECOVERY_MS = 2500;

/**
 * Delay until the next check whether a read is due. It is bounded, since a read is due
 * earlier if instances that rank before this one fail meanwhile.
 *
 * @param dueInMs - time until the read is due, in milliseconds
 * @returns milliseconds
 */
function idleDelayMs(dueInMs: number): number {
  return Math.min(MAX_IDLE_MS, Math.max(MIN_IDLE_MS, dueInMs));
}

type StoreCall = 'configuration' | 'replicas';

/**
 * Reads configuration and replicas from the store.
 *
 * Only the readers, the instances that rank first, read regularly. The others get the
 * view from them, and read themselves only if it gets too old.
 */
export class StoreReader {
  #isStopped = false;
  #watchedVersion: number | null = null;
  /** Newest era of the store in an answer; null before the first. */
  #era: number | null = null;
  #failingSinceMs: number | null = null;

  constructor(
    private readonly context: GatewayContext,
    private readonly store: DiscoveryStore,
    private readonly view: FleetView,
  ) {}

  /** Starts the loops that read configuration and replicas. */
  start(): void {
    void this.#loop(() => this.#stepConfiguration());
    void this.#loop(() => this.#stepReplicas());
  }

  /** Ends both loops after the calls in progress. */
  stop(): void {
    this.#isStopped = true;
  }

  /**
   * Reads configuration and replicas immediately, whether or not a read is due.
   *
   * @returns whether both calls succeeded
   */
  async refresh(): Promise<boolean> {
    const done = await Promise.all([
      this.#tryCall('configuration', () => this.#readConfiguration(0)),
      this.#tryCall('replicas', () => this.#readReplicas()),
    ]);
    return done.every(Boolean);
  }

  /**
   * Reads the replicas immediately.
   *
   * @returns whether the call succeeded
   */
  async confirmReplicas(): Promise<boolean> {
    return this.#tryCall('replicas', () => this.#readReplicas());
  }

  async #loop(step: () => Promise<number>): Promise<void> {
    const { timers } = this.context;
    while (!this.#isStopped) {
      const pauseMs = await step();
      await timers.sleep(pauseMs);
      // Handle received datagrams first: they may make a read unnecessary.
      await timers.nextTurn();
    }
  }

  get #rank(): number {
    const { membership } = this.context;
    return rankOf(membership.self.instance, membership.instances);
  }

  /**
   * Time until a view of this age has to be read again, in milliseconds; 0 if it is
   * due.
   */
  #dueInMs(ageMs: number): number {
    const { freshWithinMs } = this.context.settings;
    return Math.max(0, storeReadAgeMs(this.#rank, freshWithinMs) - ageMs);
  }

  get #replicaReadIntervalMs(): number {
    const { freshWithinMs } = this.context.settings;
    return Math.min(
      MAX_REPLICA_READ_INTERVAL_MS,
      REPLICA_READ_INTERVAL_SHARE * freshWithinMs,
    );
  }

  get #retryDelayMs(): number {
    const pauseMs = RETRY_DELAY_MS + this.#rank * RETRY_DELAY_PER_RANK_MS;
    return Math.min(MAX_RETRY_DELAY_MS, pauseMs);
  }

  async #stepConfiguration(): Promise<number> {
    const { board } = this.context.router;
    const ageMs = board.storeClock.ageOf(board.configurationAsOfMs);
    // The delay applies before the first configuration is written, too. Otherwise all
    // instances of a fleet that waits for it would keep calling the store.
    const dueInMs = this.#dueInMs(ageMs);
    if (dueInMs > 0) {
      return idleDelayMs(dueInMs);
    }
    const done = await this.#tryCall('configuration', () =>
      this.#readConfiguration(),
    );
    return done ? 0 : this.#retryDelayMs;
  }

  async #stepReplicas(): Promise<number> {
    const { replicas } = this.context.router.board;
    const dueInMs = replicas.version > 0 ? this.#dueInMs(replicas.ageMs) : 0;
    if (dueInMs > 0) {
      return idleDelayMs(dueInMs);
    }
    const done = await this.#tryCall('replicas', () => this.#readReplicas());
    return done ? this.#replicaReadIntervalMs : this.#retryDelayMs;
  }

  async #readConfiguration(waitMs = WATCH_TIMEOUT_MS): Promise<void> {
    const askedMs = this.context.clock();
    const read = await this.#fetchConfiguration(waitMs);
    this.#watchedVersion = read.version;
    this.#logEra(read.version);
    this.#updateStoreClock(read.storeMs, askedMs);
    this.view.applyConfiguration(read.configuration, read.storeMs, 'store');
  }

  /**
   * Waits for a new configuration, or reads the current one if there was no read before
   * or the store no longer has the history.
   */
  async #fetchConfiguration(waitMs: number): Promise<ConfigurationRead> {
    if (this.#watchedVersion === null) {
      return this.store.readConfiguration();
    }
    const read = await this.store.watchConfiguration(
      this.#watchedVersion,
      waitMs,
    );
    return read === HISTORY_GONE ? this.store.readConfiguration() : read;
  }

  /** Logs when the store was restored from an older copy. */
  #logEra(version: number): void {
    const era = eraOf(version);
    if (this.#era !== null && era > this.#era) {
      this.context.log.write('storeRestored', { era, before: this.#era });
    }
    this.#era = Math.max(era, this.#era ?? 0);
  }

  #updateStoreClock(storeMs: number, askedMs: number): void {
    this.context.router.board.storeClock.read(storeMs, askedMs);
  }

  async #readReplicas(): Promise<void> {
    const { replicas } = this.context.router.board;
    const askedMs = this.context.clock();
    const { asOfMs } = replicas;
    const changed: ReplicaRead | typeof HISTORY_GONE =
      replicas.version > 0
        ? await this.store.changedReplicas(replicas.version)
        : HISTORY_GONE;
    if (changed !== HISTORY_GONE) {
      const { rows, version, storeMs } = changed;
      this.#logEra(version);
      this.#updateStoreClock(storeMs, askedMs);
      // Must precede the rows: after an outage, expired entries in them are tolerated.
      this.#onAnswered();
      this.view.applyReplicaChanges(
        replicas.applyRows(rows, version, storeMs),
        'store',
      );
      this.view.noteConfirmation(asOfMs, 'store');
      return;
    }
    const { rows, version, storeMs } = await this.store.readReplicas();
    this.#logEra(version);
    this.#updateStoreClock(storeMs, askedMs);
    this.#onAnswered();
    const changes = replicas.applySnapshot(rows, version, storeMs);
    this.view.noteConfirmation(asOfMs, 'store');
    this.view.applyAllReplicas(changes, 'store', asOfMs);
  }

  async #tryCall(call: StoreCall, run: () => Promise<void>): Promise<boolean> {
    const { metrics, router } = this.context;
    const { outage } = router.board;
    if (call === 'replicas') {
      outage.onCall();
    }
    try {
      await run();
      this.#onAnswered();
      outage.onAnswer();
      metrics.storeCalls.inc({ call, result: 'ok' });
      return true;
    } catch (err) {
      outage.onFailure();
      metrics.storeCalls.inc({ call, result: 'failed' });
      this.#onFailed(call, err);
      return false;
    }
  }

  /** Ends a run of failures, and tolerates expired entries if it was an outage. */
  #onAnswered(): void {
    const { clock, log, router, settings } = this.context;
    if (this.#failingSinceMs === null) {
      return;
    }
    const { otherMembers, outage, replicas } = router.board;
    const awayMs = clock() - this.#failingSinceMs;
    this.#failingSinceMs = null;
    // Calls may also have failed because this instance is slow or its link congested. If
    // other instances could read the store meanwhile, entries of live replicas have not
    // expired.
    if (
      awayMs >= MIN_OUTAGE_MS &&
      replicas.ageMs >= awayMs &&
      replicas.ageMs >= MIN_LAPSE_INTERVALS * settings.heartbeatMs &&
      outage.isConfirmed(otherMembers)
    ) {
      replicas.beginLapseGracePeriod(RECOVERY_MS);
    }
    log.write('platformBack', { awayMs: Math.round(awayMs) });
  }

  #onFailed(call: StoreCall, err: unknown): void {
    const { clock, log } = this.context;
    if (this.#failingSinceMs !== null) {
      return;
    }
    this.#failingSinceMs = clock();
    const error = err instanceof Error ? err.message : String(err);
    log.write('platformDown', { call, error });
  }
}
