import murmurhash from 'murmurhash';
import type { Membership } from '@jujubecroft/decisions';
import type { TableWrite } from '@jujubecroft/stores';
import type { InstanceId } from '@jujubecroft/types';

import type { PeerConnections } from '../state/PeerConnections.js';
import type { WriteBatcher, WriteOutcome } from './WriteBatcher.js';

/** Instances that write claims for the whole fleet. */
const COLLECTORS = 16;
/** Transactions a second that claims of the whole fleet may cost the table. */
const CLAIM_WRITES_PER_SECOND = 200;
const MIN_PACE_MS = 10;
const MS_PER_SECOND = 1000;

/**
 * Sends claims to a few instances that put them into shared transactions.
 *
 * The table alone decides who may run a key, so a collector that is wrong,
 * doubled or gone does no harm: its callers find out by reading the row.
 */
export class ClaimCollectors {
  constructor(
    private readonly membership: Membership,
    private readonly peers: PeerConnections,
    private readonly batcher: () => WriteBatcher,
  ) {}

  /** Pause between transactions of one collector, for the fleet as it is. */
  paceMs(): number {
    const collectors = Math.min(COLLECTORS, this.membership.instances.length);
    return Math.max(
      MIN_PACE_MS,
      (collectors / CLAIM_WRITES_PER_SECOND) * MS_PER_SECOND,
    );
  }

  /**
   * Writes one claim, here or at its collector.
   *
   * @param write - the row with its condition
   * @returns undefined when written, else the row that stood in the way
   * @throws Error when the fate of the write is unknown
   */
  async write(write: TableWrite): Promise<WriteOutcome> {
    const collector = this.#collectorOf(write.key);
    const member = this.membership.members.find(({ id }) => id === collector);
    return member
      ? this.peers.recordClaim(member.peerAddress, write)
      : this.batcher().write(write);
  }

  /** A small fleet writes for itself: one hop less, and still within budget. */
  #collectorOf(key: string): InstanceId {
    const instances = this.membership.instances;
    if (instances.length <= COLLECTORS) {
      return this.membership.self.instance;
    }
    const collectors = instances
      .map(id => ({ id, rank: murmurhash.v3(id) }))
      .sort((a, b) => a.rank - b.rank)
      .slice(0, COLLECTORS);
    const chosen = collectors[murmurhash.v3(key) % collectors.length];
    return chosen?.id ?? this.membership.self.instance;
  }
}
