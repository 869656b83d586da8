import type {
  BackendServerId,
  InstanceId,
  ServiceId,
} from '@jujubecroft/types';

import type { Clock } from '../../blackboard/Blackboard.js';
import type { BurstRule } from '../../limits/TokenBucket.js';
import { TokenBucket } from '../../limits/TokenBucket.js';
import { byHash, byHashed, hashed } from '../../util/byHash.js';
import type { BackendLoad, NamedLimit } from '../BackendLoad.js';
import type { ReplicaRegistry } from '../ReplicaRegistry.js';
import { limitShare } from './limitShare.js';

/** What an instance needs to know to take its part of limits. */
export interface LimitContext {
  readonly instance: InstanceId;
  readonly clock: Clock;
  readonly replicas: ReplicaRegistry;
}

/**
 * Requests that an instance may send at once after a pause. The most urgent need one
 * token, so that the second is theirs as well when others have to wait for it.
 */
const BURST: BurstRule = { capacity: () => 2, startsFull: false };
/** Tokens that a request needs to be there, by its priority; the last one for all others. */
const NEEDED = [1, 1.25, 1.5];
/** Rate at which a replica that takes nothing is asked whether that has changed. */
const MIN_PER_S = 0.25;
/**
 * Time by which news of the end of a limit has to be newer than the limit. It may have
 * been under way for as long, and then be older.
 */
const END_SLACK_MS = 500;

/**
 * Keeps the sum of what all instances send to a replica within the limit it names.
 *
 * Guards against a replica in need that gets more than it takes, though each instance
 * by itself sends little. A few instances share each limit; the others use other
 * replicas. A new sender begins without a token, and so after the one before it has
 * heard of the change.
 */
export class ReplicaLimits {
  readonly #buckets = new Map<BackendServerId, TokenBucket>();
  readonly #listeners: (() => void)[] = [];
  readonly #changedMs = new Map<BackendServerId, number>();
  #live: readonly InstanceId[] = [];
  #rank = 0;
  #places = new Map<BackendServerId, { index: number; replicas: number }>();
  #placesVersion = -1;

  constructor(private readonly context: LimitContext) {
    this.#live = [context.instance];
  }

  /** Adds a listener that is told whenever a limit has changed. */
  onNews(listener: () => void): void {
    this.#listeners.push(listener);
  }

  /** Tells which instances live. */
  onInstances(live: readonly InstanceId[]): void {
    const known = new Set(this.#live);
    if (live.length === known.size && live.every(id => known.has(id))) {
      return;
    }
    this.#live = live;
    this.#rank = [...live].sort(byHash).indexOf(this.context.instance);
  }

  /** Takes in what a replica said to this instance. */
  onAnswer(load: BackendLoad, limit: NamedLimit): void {
    this.#note(load, limit);
  }

  /** Takes in what a replica said to another instance. */
  onPeer(load: BackendLoad, limit: NamedLimit): void {
    const known = load.limit;
    const isEnd = limit.perS === null && load.limitPerS !== null;
    const slackMs = isEnd ? END_SLACK_MS : 0;
    if (limit.atMs > (known?.atMs ?? -Infinity) + slackMs) {
      this.#note(load, limit);
    }
  }

  /** How long ago this instance learnt of a change, in milliseconds. */
  changeAgeMs({ replica }: BackendLoad): number {
    return (
      this.context.clock() - (this.#changedMs.get(replica.id) ?? -Infinity)
    );
  }

  /**
   * Whether a request may be sent to a replica now.
   *
   * @param load - of the replica
   * @param priority - of the request, 0 first
   */
  mayTake(load: BackendLoad, priority: number): boolean {
    const bucket = this.#bucketOf(load);
    return (
      bucket === null ||
      bucket.level(this.context.clock()) >= neededBy(priority)
    );
  }

  /**
   * Time until a request may be sent to a replica, in milliseconds.
   *
   * @returns infinity where other instances share its limit
   */
  waitMs(load: BackendLoad, priority: number): number {
    const bucket = this.#bucketOf(load);
    return bucket === null
      ? 0
      : bucket.timeToMs(neededBy(priority), this.context.clock());
  }

  /** Notes that a request goes to a replica. */
  take(load: BackendLoad): void {
    this.#bucketOf(load)?.take(1);
  }

  /** Notes that a request did not reach a replica after all. */
  giveBack(load: BackendLoad): void {
    this.#bucketOf(load)?.take(-1);
  }

  #note(load: BackendLoad, limit: NamedLimit): void {
    const before = load.limitPerS;
    load.onLimit(limit);
    if (load.limitPerS !== before) {
      this.#changedMs.set(load.replica.id, this.context.clock());
      // Tokens are saved up from now on, not from the first request on.
      this.#bucketOf(load);
      this.#listeners.forEach(listener => {
        listener();
      });
    }
  }

  /** The bucket of a replica that names a limit; null where it names none. */
  #bucketOf(load: BackendLoad): TokenBucket | null {
    const perS = load.limitPerS;
    const { id } = load.replica;
    if (perS === null) {
      this.#buckets.delete(id);
      return null;
    }
    const nowMs = this.context.clock();
    const share = this.#shareOf(load, Math.max(MIN_PER_S, perS));
    const bucket = this.#buckets.get(id) ?? new TokenBucket(0, nowMs, BURST);
    this.#buckets.set(id, bucket);
    bucket.setRate(share, nowMs);
    if (share === 0) {
      bucket.empty();
    }
    return bucket;
  }

  #shareOf({ replica }: BackendLoad, perS: number): number {
    this.#placeReplicas();
    const place = this.#places.get(replica.id);
    return place
      ? limitShare(perS, {
          ...place,
          rank: this.#rank,
          instances: this.#live.length,
        })
      : 0;
  }

  /** Puts the replicas of each service in an order that all instances agree on. */
  #placeReplicas(): void {
    const { replicas } = this.context;
    if (this.#placesVersion === replicas.changedAt) {
      return;
    }
    this.#placesVersion = replicas.changedAt;
    this.#places = new Map();
    const byService = new Map<ServiceId, BackendServerId[]>();
    replicas.replicas.forEach(({ id, service }) => {
      const ids = byService.get(service) ?? [];
      byService.set(service, ids);
      ids.push(id);
    });
    byService.forEach(ids => {
      ids
        .map(id => ({ known: id, ...hashed(id) }))
        .sort(byHashed)
        .forEach(({ known }, index) => {
          this.#places.set(known, { index, replicas: ids.length });
        });
    });
    [...this.#changedMs.keys()]
      .filter(id => !this.#places.has(id))
      .forEach(id => {
        this.#changedMs.delete(id);
        this.#buckets.delete(id);
      });
  }
}

function neededBy(priority: number): number {
  return NEEDED[priority] ?? NEEDED.at(-1) ?? 1;
}
