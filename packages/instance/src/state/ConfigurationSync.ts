import type { Member, Membership } from '@jujubecroft/decisions';
import type { ConfigurationStore } from '@jujubecroft/stores';
import type { Configuration } from '@jujubecroft/types';
import { routerError } from '@jujubecroft/types';

import type { EventLog } from '@jujubecroft/events';
import type { RouterHost } from '../host/RouterHost.js';
import type { InstanceMetrics } from '../metrics/InstanceMetrics.js';
import type { PeerConnections } from './PeerConnections.js';

/** Mean time between the polls of one instance in a small fleet. */
const POLL_INTERVAL_MS = 1000;
/** Limit of table reads per second for polls of the whole fleet. */
const MAX_POLL_READS_PER_SECOND = 100;
const START_RETRIES = 5;
const START_RETRY_DELAY_MS = 500;
/** Longest random delay of a snapshot write. */
const MAX_SNAPSHOT_DELAY_MS = 500;
const MS_PER_SECOND = 1000;

const wait = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms));

/**
 * Keeps the configuration of one instance up to date.
 *
 * An instance learns of a new revision from a heartbeat or from its own poll of
 * the table, whichever is first. It loads the revision from the table or, while
 * the table is unreachable, from the peer that has it.
 */
export class ConfigurationSync {
  #pollTimer: NodeJS.Timeout | null = null;
  #fetching = false;
  #tableReachable = true;
  #stopped = false;

  constructor(
    private readonly store: ConfigurationStore,
    private readonly membership: Membership,
    private readonly peers: PeerConnections,
    private readonly host: RouterHost,
    private readonly metrics: InstanceMetrics,
    private readonly log: EventLog,
    private readonly random: () => number,
  ) {}

  /** Whether the last read of the table succeeded. */
  get tableReachable(): boolean {
    return this.#tableReachable;
  }

  /**
   * Loads the initial configuration and starts to poll.
   *
   * Tries the table, then peers, then the snapshot.
   *
   * @throws RouterError `noConfiguration` if none of them has one
   */
  async start(): Promise<void> {
    const found = await this.#loadInitial(START_RETRIES);
    if (!found) {
      throw routerError(
        'noConfiguration',
        'No configuration found in the table, at peers or in the snapshot.',
      );
    }
    this.#schedulePoll();
  }

  stop(): void {
    this.#stopped = true;
    if (this.#pollTimer) {
      clearTimeout(this.#pollTimer);
    }
  }

  /**
   * Loads the latest configuration from the table, for example after a commit.
   */
  async refresh(): Promise<void> {
    this.#applyConfiguration(await this.store.update(this.host.configuration));
  }

  /** Catches up with a member that is known to have a newer revision. */
  onNewerRevision(member: Member): void {
    if (this.#fetching) {
      return;
    }
    this.#fetching = true;
    void this.#catchUp(member).finally(() => {
      this.#fetching = false;
    });
  }

  async #loadInitial(retriesLeft: number): Promise<boolean> {
    const loaded =
      (await this.#loadFromTable()) ||
      (await this.#loadFromPeers()) ||
      (await this.#loadFromSnapshot());
    if (loaded || retriesLeft === 0) {
      return loaded;
    }
    await wait(START_RETRY_DELAY_MS);
    return this.#loadInitial(retriesLeft - 1);
  }

  async #loadFromTable(): Promise<boolean> {
    try {
      await this.refresh();
      this.#setTableReachable(true);
      return true;
    } catch {
      this.#setTableReachable(false);
      return false;
    }
  }

  async #loadFromPeers(): Promise<boolean> {
    const members = this.membership.indirectProbers(
      this.membership.self.instance,
      3,
    );
    const found = await Promise.all(
      members.map(member => this.#loadFromPeer(member).catch(() => false)),
    );
    return found.some(adopted => adopted);
  }

  async #loadFromSnapshot(): Promise<boolean> {
    try {
      const cfg = await this.store.readSnapshot();
      if (cfg) {
        this.log.write('configurationSource', { source: 'snapshot' });
        this.#applyConfiguration(cfg);
      }
      return cfg !== null;
    } catch {
      return false;
    }
  }

  async #catchUp(member: Member): Promise<void> {
    if (await this.#loadFromTable()) {
      return;
    }
    await this.#loadFromPeer(member).catch(() => false);
  }

  async #loadFromPeer(member: Member): Promise<boolean> {
    const reply = await this.peers.configuration(
      member.peerAddress,
      this.host.configuration.revision,
    );
    if (reply.configurationJson === '') {
      return false;
    }
    this.log.write('configurationSource', { source: member.id });
    this.#applyConfiguration(
      JSON.parse(reply.configurationJson) as Configuration,
    );
    return true;
  }

  #applyConfiguration(cfg: Configuration): void {
    const before = this.host.configuration.revision;
    if (!this.host.router.configure(cfg)) {
      return;
    }
    this.metrics.revision.set(cfg.revision);
    this.log.write('configurationInForce', { revision: cfg.revision, before });
  }

  /**
   * Schedules the next poll; the interval grows with the fleet to keep to the
   * read limit.
   */
  #schedulePoll(): void {
    const fleet = this.membership.serving.length + 1;
    const budgetedMs = (fleet / MAX_POLL_READS_PER_SECOND) * MS_PER_SECOND;
    const delayMs =
      Math.max(POLL_INTERVAL_MS, budgetedMs) * (0.5 + this.random());
    this.#pollTimer = setTimeout(() => {
      void this.#poll();
    }, delayMs);
  }

  async #poll(): Promise<void> {
    const before = this.host.configuration.revision;
    await this.#loadFromTable();
    if (this.host.configuration.revision > before && this.#isSnapshotWriter()) {
      await this.writeSnapshot();
    }
    if (!this.#stopped) {
      this.#schedulePoll();
    }
  }

  /**
   * Whether this instance also writes the snapshot after a change by another.
   *
   * Apart from the instance that committed the change, the one with the lowest
   * id writes it. If both fail, the snapshot is written after the next change.
   */
  #isSnapshotWriter(): boolean {
    const { self, serving } = this.membership;
    return serving.every(({ id }) => id > self.instance);
  }

  /**
   * Writes the snapshot, from which instances can start during an outage.
   *
   * It is tolerable if an older snapshot overwrites a newer one: an instance
   * that starts from it catches up from the table or a peer.
   */
  async writeSnapshot(): Promise<void> {
    await wait(this.random() * MAX_SNAPSHOT_DELAY_MS);
    try {
      await this.store.writeSnapshot(this.host.configuration);
    } catch (err) {
      this.log.write('snapshotFailed', { reason: String(err) });
    }
  }

  #setTableReachable(reachable: boolean): void {
    if (reachable === this.#tableReachable) {
      return;
    }
    this.#tableReachable = reachable;
    this.log.write(reachable ? 'platformBack' : 'platformDown', {});
  }
}
