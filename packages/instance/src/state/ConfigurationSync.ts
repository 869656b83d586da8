import type { Member, Membership } from '@jujubecroft/decisions';
import type { ConfigurationStore } from '@jujubecroft/stores';
import type { Configuration } from '@jujubecroft/types';
import { routerError } from '@jujubecroft/types';

import type { EventLog } from '@jujubecroft/events';
import type { RouterHost } from '../host/RouterHost.js';
import type { InstanceMetrics } from '../metrics/InstanceMetrics.js';
import type { PeerConnections } from './PeerConnections.js';

const POLL_MS = 1000;
/** Reads a second that all polls together may cost the table. */
const POLL_READS_PER_SECOND = 100;
const START_ATTEMPTS = 5;
const START_RETRY_MS = 500;
const SNAPSHOT_DELAY_MS = 500;
const MS_PER_SECOND = 1000;

const wait = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms));

/**
 * Keeps the configuration of one instance up to date.
 *
 * News of a revision comes with heartbeats or from the own poll of the table,
 * whichever is first. The table is read for it, or, while the table is down,
 * the peer that has it.
 */
export class ConfigurationSync {
  #timer: NodeJS.Timeout | null = null;
  #fetching = false;
  #reachable = true;
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

  /** Whether the last call of the table was answered. */
  get tableReachable(): boolean {
    return this.#reachable;
  }

  /**
   * Loads the first configuration: table, else a peer, else the snapshot.
   *
   * @throws RouterError `noConfiguration` when none of them has one
   */
  async start(): Promise<void> {
    const found = await this.#loadFirst(START_ATTEMPTS);
    if (!found) {
      throw routerError(
        'noConfiguration',
        'Neither table nor peers nor the snapshot hold a configuration.',
      );
    }
    this.#schedule();
  }

  stop(): void {
    this.#stopped = true;
    if (this.#timer) {
      clearTimeout(this.#timer);
    }
  }

  /** Reads the table now, as after an own commit. */
  async refresh(): Promise<void> {
    this.#adopt(await this.store.update(this.host.configuration));
  }

  /** Called when a heartbeat shows a member with a later revision. */
  onAhead(member: Member): void {
    if (this.#fetching) {
      return;
    }
    this.#fetching = true;
    void this.#catchUp(member).finally(() => {
      this.#fetching = false;
    });
  }

  async #loadFirst(attemptsLeft: number): Promise<boolean> {
    const loaded =
      (await this.#fromTable()) ||
      (await this.#fromPeers()) ||
      (await this.#fromSnapshot());
    if (loaded || attemptsLeft === 0) {
      return loaded;
    }
    await wait(START_RETRY_MS);
    return this.#loadFirst(attemptsLeft - 1);
  }

  async #fromTable(): Promise<boolean> {
    try {
      await this.refresh();
      this.#onReachable(true);
      return true;
    } catch {
      this.#onReachable(false);
      return false;
    }
  }

  async #fromPeers(): Promise<boolean> {
    const members = this.membership.helpers(this.membership.self.instance, 3);
    const found = await Promise.all(
      members.map(member => this.#fetchFrom(member).catch(() => false)),
    );
    return found.some(adopted => adopted);
  }

  async #fromSnapshot(): Promise<boolean> {
    try {
      const cfg = await this.store.readSnapshot();
      if (cfg) {
        this.log.write('configurationSource', { source: 'snapshot' });
        this.#adopt(cfg);
      }
      return cfg !== null;
    } catch {
      return false;
    }
  }

  async #catchUp(member: Member): Promise<void> {
    if (await this.#fromTable()) {
      return;
    }
    await this.#fetchFrom(member).catch(() => false);
  }

  async #fetchFrom(member: Member): Promise<boolean> {
    const reply = await this.peers.configuration(
      member.peerAddress,
      this.host.configuration.revision,
    );
    if (reply.configurationJson === '') {
      return false;
    }
    this.log.write('configurationSource', { source: member.id });
    this.#adopt(JSON.parse(reply.configurationJson) as Configuration);
    return true;
  }

  #adopt(cfg: Configuration): void {
    const before = this.host.configuration.revision;
    if (!this.host.router.configure(cfg)) {
      return;
    }
    this.metrics.revision.set(cfg.revision);
    this.log.write('configurationInForce', { revision: cfg.revision, before });
  }

  /** Polls spread over the fleet, so that their sum stays within the budget. */
  #schedule(): void {
    const fleet = this.membership.serving.length + 1;
    const shareMs = (fleet / POLL_READS_PER_SECOND) * MS_PER_SECOND;
    const delayMs = Math.max(POLL_MS, shareMs) * (0.5 + this.random());
    this.#timer = setTimeout(() => {
      void this.#poll();
    }, delayMs);
  }

  async #poll(): Promise<void> {
    const before = this.host.configuration.revision;
    await this.#fromTable();
    if (this.host.configuration.revision > before && this.#isWriter()) {
      await this.writeSnapshot();
    }
    if (!this.#stopped) {
      this.#schedule();
    }
  }

  /**
   * Besides the instance that committed a change, one more writes the snapshot:
   * the first by name. Should both be gone, the next change writes it again.
   */
  #isWriter(): boolean {
    const { self, serving } = this.membership;
    return serving.every(({ id }) => id > self.instance);
  }

  /**
   * Writes the snapshot for starts during an outage.
   *
   * An older snapshot that overwrites a later one does no harm for long: it is
   * only a start, and the table or a peer brings what is missing.
   */
  async writeSnapshot(): Promise<void> {
    await wait(this.random() * SNAPSHOT_DELAY_MS);
    try {
      await this.store.writeSnapshot(this.host.configuration);
    } catch (err) {
      this.log.write('snapshotFailed', { reason: String(err) });
    }
  }

  #onReachable(reachable: boolean): void {
    if (reachable === this.#reachable) {
      return;
    }
    this.#reachable = reachable;
    this.log.write(reachable ? 'platformBack' : 'platformDown', {});
  }
}
