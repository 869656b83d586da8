import type {
  BackendServerId,
  InstanceId,
  ServiceId,
} from '@jujubecroft/types';

import type { Clock } from '../../blackboard/Blackboard.js';
import type { BurstRule } from '../../limits/TokenBucket.js';
import { TokenBucket } from '../../limits/TokenBucket.js';
import { compareHashed, toHashedId } from '../../util/byHash.js';
import type { BackendLoad, AnnouncedLimit } from '../BackendLoad.js';
import { rankOf } from '../readDuty.js';
import type { ReplicaRegistry } from '../ReplicaRegistry.js';
import { limitShare } from './limitShare.js';

/** What an instance needs to know to compute its share of replica limits. */
export interface LimitContext {
  readonly instance: InstanceId;
  readonly clock: Clock;
  readonly replicas: ReplicaRegistry;
}

/**
 * Allows two requests at once after a pause. The most urgent requests need only
 * one token in the bucket and others need more, so that urgent ones are still
 * sent while others have to wait.
 */
const BURST: BurstRule = { capacity: () => 2, startsFull: false };
/**
 * Tokens that must be in the bucket before a request is sent, by its priority;
 * the last entry applies to all others.
 */
const REQUIRED_TOKENS = [1, 1.25, 1.5];
/**
 * Rate at which requests still probe a replica that reports a limit of 0, per
 * second.
 */
const MIN_RATE_PER_S = 0.25;
/**
 * Time by which another instance's report of the end of a limit has to be newer
 * than the limit, in milliseconds. A report may be under way for that long, so
 * one that looks only slightly newer may be older than the limit.
 */
const END_SLACK_MS = 500;

/**
 * Keeps the sum of what all instances send to a replica within the limit that
 * the replica reports.
 *
 * Guards against overloading a replica although each instance by itself sends
 * it little. A few instances share each limit; the others use other replicas. A
 * new sender starts with an empty bucket, so that it sends only after the
 * previous sender has learnt of the change.
 */
export class ReplicaLimits {
  readonly #buckets = new Map<BackendServerId, TokenBucket>();
  readonly #listeners: (() => void)[] = [];
  readonly #changedAtMs = new Map<BackendServerId, number>();
  #hasLimits = false;
  #live: readonly InstanceId[] = [];
  #rank = 0;
  #positions = new Map<BackendServerId, { index: number; replicas: number }>();
  #positionsVersion = -1;

  constructor(private readonly context: LimitContext) {
    this.#live = [context.instance];
  }

  /** Adds a listener that is called whenever a limit has changed. */
  onChange(listener: () => void): void {
    this.#listeners.push(listener);
  }

  /** Whether no replica has ever announced a limit to any instance. */
  get isEmpty(): boolean {
    return !this.#hasLimits;
  }

  /** Updates the list of live instances. */
  onInstances(live: readonly InstanceId[]): void {
    if (live === this.#live) {
      return;
    }
    const known = new Set(this.#live);
    if (live.length === known.size && live.every(id => known.has(id))) {
      return;
    }
    this.#live = live;
    this.#rank = rankOf(this.context.instance, live);
  }

  /** Applies the limit that a replica reported to this instance. */
  onAnswer(load: BackendLoad, limit: AnnouncedLimit): void {
    this.#applyLimit(load, limit);
  }

  /**
   * Applies the limit that a replica reported to another instance, if it is
   * newer.
   */
  onPeer(load: BackendLoad, limit: AnnouncedLimit): void {
    const known = load.limit;
    const isLimitEnd = limit.perS === null && load.limitPerS !== null;
    const slackMs = isLimitEnd ? END_SLACK_MS : 0;
    if (limit.atMs > (known?.atMs ?? -Infinity) + slackMs) {
      this.#applyLimit(load, limit);
    }
  }

  /**
   * Time since this instance learnt of the last change of a limit, in
   * milliseconds.
   */
  changeAgeMs({ replica }: BackendLoad): number {
    return (
      this.context.clock() - (this.#changedAtMs.get(replica.id) ?? -Infinity)
    );
  }

  /**
   * Whether a request may be sent to a replica now.
   *
   * @param load - load of the replica
   * @param priority - position of the request in the priority order, 0 first
   */
  mayTake(load: BackendLoad, priority: number): boolean {
    const bucket = this.#bucketOf(load);
    return (
      bucket === null ||
      bucket.level(this.context.clock()) >= requiredTokens(priority)
    );
  }

  /**
   * Time until a request may be sent to a replica, in milliseconds.
   *
   * @param load - load of the replica
   * @param priority - position of the request in the priority order, 0 first
   * @returns Infinity if other instances share the replica's limit
   */
  waitMs(load: BackendLoad, priority: number): number {
    const bucket = this.#bucketOf(load);
    return bucket === null
      ? 0
      : bucket.timeToMs(requiredTokens(priority), this.context.clock());
  }

  /** Takes a token for a request that is sent to a replica. */
  take(load: BackendLoad): void {
    this.#bucketOf(load)?.take(1);
  }

  /** Returns the token of a request that did not reach its replica. */
  refund(load: BackendLoad): void {
    this.#bucketOf(load)?.take(-1);
  }

  #applyLimit(load: BackendLoad, limit: AnnouncedLimit): void {
    const before = load.limitPerS;
    load.onLimit(limit);
    if (load.limitPerS !== before) {
      this.#hasLimits = true;
      this.#changedAtMs.set(load.replica.id, this.context.clock());
      // Creates the bucket now, so that tokens accumulate from the change on
      // and not from the first request on.
      this.#bucketOf(load);
      this.#listeners.forEach(listener => {
        listener();
      });
    }
  }

  /** Finds the bucket of a replica with a limit; null if it has none. */
  #bucketOf(load: BackendLoad): TokenBucket | null {
    const perS = load.limitPerS;
    const { id } = load.replica;
    if (perS === null) {
      this.#buckets.delete(id);
      return null;
    }
    const nowMs = this.context.clock();
    const share = this.#shareOf(load, Math.max(MIN_RATE_PER_S, perS));
    const bucket = this.#buckets.get(id) ?? new TokenBucket(0, nowMs, BURST);
    this.#buckets.set(id, bucket);
    bucket.setRate(share, nowMs);
    if (share === 0) {
      bucket.empty();
    }
    return bucket;
  }

  #shareOf({ replica }: BackendLoad, perS: number): number {
    this.#updatePositions();
    const place = this.#positions.get(replica.id);
    return place
      ? limitShare(perS, {
          ...place,
          rank: this.#rank,
          instances: this.#live.length,
        })
      : 0;
  }

  /**
   * Puts the replicas of each service in an order on which all instances agree.
   */
  #updatePositions(): void {
    const { replicas } = this.context;
    if (this.#positionsVersion === replicas.changedAt) {
      return;
    }
    this.#positionsVersion = replicas.changedAt;
    this.#positions = new Map();
    const byService = new Map<ServiceId, BackendServerId[]>();
    replicas.replicas.forEach(({ id, service }) => {
      const ids = byService.get(service) ?? [];
      byService.set(service, ids);
      ids.push(id);
    });
    byService.forEach(ids => {
      ids
        .map(id => ({ known: id, ...toHashedId(id) }))
        .sort(compareHashed)
        .forEach(({ known }, index) => {
          this.#positions.set(known, { index, replicas: ids.length });
        });
    });
    [...this.#changedAtMs.keys()]
      .filter(id => !this.#positions.has(id))
      .forEach(id => {
        this.#changedAtMs.delete(id);
        this.#buckets.delete(id);
      });
  }
}

function requiredTokens(priority: number): number {
  return REQUIRED_TOKENS[priority] ?? REQUIRED_TOKENS.at(-1) ?? 1;
}
