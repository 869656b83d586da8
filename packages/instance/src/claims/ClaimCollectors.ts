import murmurhash from 'murmurhash';
import type { Membership } from '@jujubecroft/decisions';
import type { TableWrite } from '@jujubecroft/stores';
import type { InstanceId } from '@jujubecroft/types';

import type { PeerConnections } from '../state/PeerConnections.js';
import type { WriteBatcher, WriteOutcome } from './WriteBatcher.js';

/** Number of instances that write claims on behalf of the whole fleet. */
const COLLECTOR_COUNT = 16;
/** Limit of claim transactions per second, over the whole fleet. */
const MAX_TRANSACTIONS_PER_SECOND = 200;
const MIN_BATCH_PAUSE_MS = 10;
const MS_PER_SECOND = 1000;

/**
 * Forwards claims to a few collector instances that batch them into shared
 * transactions.
 *
 * Only the table decides which request may run under a key. It is therefore
 * harmless if instances disagree about the collector of a key or if a collector
 * fails: the instance that asked for the claim reads the row to find out.
 */
export class ClaimCollectors {
  constructor(
    private readonly membership: Membership,
    private readonly peers: PeerConnections,
    private readonly batcher: () => WriteBatcher,
  ) {}

  /**
   * Pause between the transactions of one collector at the current fleet size,
   * in milliseconds.
   */
  batchPauseMs(): number {
    const collectors = Math.min(
      COLLECTOR_COUNT,
      this.membership.instances.length,
    );
    return Math.max(
      MIN_BATCH_PAUSE_MS,
      (collectors / MAX_TRANSACTIONS_PER_SECOND) * MS_PER_SECOND,
    );
  }

  /**
   * Writes one claim, locally or through its collector.
   *
   * @param write - claim row with its version condition
   * @returns undefined if the row was written, else the conflicting row
   * @throws Error if it is unknown whether the row was written
   */
  async write(write: TableWrite): Promise<WriteOutcome> {
    const collector = this.#collectorOf(write.key);
    const member = this.membership.members.find(({ id }) => id === collector);
    return member
      ? this.peers.recordClaim(member.peerAddress, write)
      : this.batcher().write(write);
  }

  /**
   * In a small fleet each instance is its own collector: this saves a hop and
   * keeps to the limit.
   */
  #collectorOf(key: string): InstanceId {
    const instances = this.membership.instances;
    if (instances.length <= COLLECTOR_COUNT) {
      return this.membership.self.instance;
    }
    const collectors = instances
      .map(id => ({ id, rank: murmurhash.v3(id) }))
      .sort((a, b) => a.rank - b.rank)
      .slice(0, COLLECTOR_COUNT);
    const chosen = collectors[murmurhash.v3(key) % collectors.length];
    return chosen?.id ?? this.membership.self.instance;
  }
}
