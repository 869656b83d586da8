import murmurhash from 'murmurhash';
import type { EngineSpec, PromptPart } from '@jujubecroft/types';
import { groupBy } from '@jujubecroft/types';

import type { BackendLoad } from '../BackendLoad.js';
import { isSameVersion } from '../streams/isSameVersion.js';
import type { CacheFetch } from './PlacementPolicy.js';

/**
 * Fetches of fewer tokens are not worth their set-up, since an engine reads so
 * few in less than 20 ms.
 */
const MIN_FETCH_TOKENS = 512;
/**
 * Time to set up a transfer; assumed, because the configuration doesn't state
 * it.
 */
const SETUP_MS = 5;
/**
 * Factor by which a transfer takes longer than sending its bits at full speed.
 * Transfers of one replica run one after another, and half of them cross
 * failure domains, where they take twice as long.
 */
const QUEUE_FACTOR = 2;
const BITS_PER_BYTE = 8;
const BITS_PER_MS_PER_MBPS = 1000;

/** What one replica probably caches of the shared parts of a prompt. */
export interface CacheHolder {
  readonly load: BackendLoad;
  readonly tokens: number;
  /**
   * Whether this instance sent them there itself; otherwise it is only likely
   * that they are cached.
   */
  readonly isKnown: boolean;
}

/** Number of values of the hash. */
const HASH_RANGE = 2 ** 32;

/**
 * Weight in rendezvous hashing at which a replica wins in proportion to its
 * capacity. For equal capacities the order is that of the hashes.
 */
function hashWeight(hash: number, capacity: number): number {
  return -capacity / Math.log((hash + 0.5) / HASH_RANGE);
}

/**
 * Finds the home replica of a prompt part by rendezvous hashing, so that all
 * instances choose the same one.
 *
 * A replica is the home of prompt parts in proportion to its capacity.
 *
 * @param part - part of a prompt
 * @param loads - candidate replicas
 * @param capacityOf - work that a replica does in the same time as others; null if
 *   all do the same
 * @returns undefined if there are no candidates
 */
export function homeReplica(
  part: PromptPart,
  loads: readonly BackendLoad[],
  capacityOf: ((load: BackendLoad) => number) | null = null,
): BackendLoad | undefined {
  return loads.reduce<{ load: BackendLoad; weight: number } | undefined>(
    (best, load) => {
      const hash = murmurhash.v3(`${part.id}/${load.replica.id}`);
      const weight = capacityOf ? hashWeight(hash, capacityOf(load)) : hash;
      return best && best.weight >= weight ? best : { load, weight };
    },
    undefined,
  )?.load;
}

/**
 * Time that a fetch takes, in milliseconds.
 *
 * @param tokens - number of tokens to copy
 * @param spec - states the cache size of a token and the transfer speed
 * @returns null if the engines can't copy caches
 */
function fetchMs(tokens: number, spec: EngineSpec | null): number | null {
  if (!spec?.transfer) {
    return null;
  }
  const { bytesPerToken, megabitsPerS } = spec.transfer;
  const bits = tokens * bytesPerToken * BITS_PER_BYTE;
  const copyMs = bits / (megabitsPerS * BITS_PER_MS_PER_MBPS);
  return SETUP_MS + QUEUE_FACTOR * copyMs;
}

/** Returns the one that caches most; undefined if none caches anything. */
function mostCached(holders: readonly CacheHolder[]): CacheHolder | undefined {
  return holders.reduce<CacheHolder | undefined>(
    (best, holder) => (holder.tokens > (best?.tokens ?? 0) ? holder : best),
    undefined,
  );
}

/**
 * Finds the replicas that probably cache most of a prompt, once for all
 * candidates.
 *
 * @param holders - what each replica caches
 * @returns for each software version, the replica that caches most and the next
 *   one, since a replica copies nothing from itself; fewer if there are fewer
 */
export function bestHolders(
  holders: readonly CacheHolder[],
): readonly CacheHolder[] {
  const byVersion = groupBy(
    holders,
    ({ load }) => load.replica.softwareVersion ?? '',
  );
  return [...byVersion.values()].flatMap(some => {
    const first = mostCached(some);
    const second = mostCached(some.filter(holder => holder !== first));
    return [first, second].flatMap(holder => holder ?? []);
  });
}

/** Input to the decision on a fetch. */
export interface FetchInput {
  /**
   * Replicas that cache most of the shared parts, best first for each software
   * version, whichever group they serve.
   */
  readonly holders: readonly CacheHolder[];
  /** Replica on which the request would run. */
  readonly target: BackendLoad;
  /** Prompt tokens that the target probably caches itself. */
  readonly ownTokens: number;
  /** Prompt tokens that an engine reads per millisecond. */
  readonly tokensPerMs: number;
  readonly spec: EngineSpec | null;
}

/**
 * Chooses the replica from which the target should copy the shared prompt parts
 * that it lacks.
 *
 * In a burst of long prompts, the replica that caches their shared parts is
 * full. Another replica would have to read the parts again, which delays all of
 * its requests; a copy uses the network link instead.
 *
 * Caches are copied between replicas of one software version only, since nothing
 * says that another version can use them.
 *
 * @param input - what each replica caches, and how fast tokens are read and
 *   copied
 * @returns null if reading takes no longer, or no other replica of the version
 *   is known to cache more
 */
export function chooseFetch({
  holders,
  target,
  ownTokens,
  tokensPerMs,
  spec,
}: FetchInput): CacheFetch | null {
  const { softwareVersion } = target.replica;
  const best = holders.find(
    ({ load }) =>
      load !== target &&
      isSameVersion(load.replica.softwareVersion, softwareVersion),
  );
  const tokens = (best?.tokens ?? 0) - ownTokens;
  const copyMs = fetchMs(tokens, spec);
  if (!best || tokens < MIN_FETCH_TOKENS || copyMs === null) {
    return null;
  }
  return copyMs < tokens / tokensPerMs
    ? { from: best.load.replica, tokens, copyMs, isKnown: best.isKnown }
    : null;
}
