import murmurhash from 'murmurhash';
import type { EngineSpec, PromptPart } from '@jujubecroft/types';

import type { BackendLoad } from '../BackendLoad.js';
import type { CacheFetch } from './PlacementPolicy.js';

/**
 * Tokens below which a fetch is not worth its set-up: reading so few takes an
 * engine less than twenty milliseconds.
 */
const MIN_FETCH_TOKENS = 512;
/** Time to set a transfer up, assumed as the configuration doesn't tell it. */
const SETUP_MS = 5;
/**
 * Transfers of one replica run one after another, and half of them cross failure
 * domains, where they take twice as long; so one takes about this much longer.
 */
const QUEUE_FACTOR = 2;
const BITS_PER_BYTE = 8;
const BITS_PER_MS_OF_MBPS = 1000;

/** What one replica probably keeps of the shared parts of a prompt. */
export interface Holder {
  readonly load: BackendLoad;
  readonly tokens: number;
  /** Whether this instance sent them there itself; else they are only hoped for. */
  readonly isKnown: boolean;
}

/**
 * The replica on which all instances would put a prompt part.
 *
 * @param part - of a prompt
 * @param loads - replicas among which it is sought
 * @returns undefined where there are none
 */
export function homeOf(
  part: PromptPart,
  loads: readonly BackendLoad[],
): BackendLoad | undefined {
  return loads.reduce<{ load: BackendLoad; weight: number } | undefined>(
    (best, load) => {
      const weight = murmurhash.v3(`${part.id}/${load.replica.id}`);
      return best && best.weight >= weight ? best : { load, weight };
    },
    undefined,
  )?.load;
}

/**
 * Time that a fetch takes, in milliseconds.
 *
 * @param tokens - to be copied
 * @param spec - tells size and speed
 * @returns null where the engines can't copy their caches
 */
function fetchMs(tokens: number, spec: EngineSpec | null): number | null {
  if (!spec?.transfer) {
    return null;
  }
  const { bytesPerToken, megabitsPerS } = spec.transfer;
  const bits = tokens * bytesPerToken * BITS_PER_BYTE;
  const copyMs = bits / (megabitsPerS * BITS_PER_MS_OF_MBPS);
  return SETUP_MS + QUEUE_FACTOR * copyMs;
}

/**
 * The replicas that probably keep most of a prompt, found once for all candidates.
 *
 * @param holders - what each replica keeps
 * @returns the one that keeps most and the next, since a replica copies nothing
 * from itself; fewer where there are fewer
 */
export function bestHolders(holders: readonly Holder[]): readonly Holder[] {
  const most = (of: readonly Holder[]): Holder | undefined =>
    of.reduce<Holder | undefined>(
      (best, holder) => (holder.tokens > (best?.tokens ?? 0) ? holder : best),
      undefined,
    );
  const first = most(holders);
  const second = most(holders.filter(holder => holder !== first));
  return [first, second].flatMap(holder => holder ?? []);
}

/** What decides on a fetch. */
export interface FetchFacts {
  /** Those that keep most of the shared parts, best first, whichever group they serve. */
  readonly holders: readonly Holder[];
  /** Where the request would go. */
  readonly target: BackendLoad;
  /** What that one probably keeps itself, in tokens. */
  readonly ownTokens: number;
  readonly tokensPerMs: number;
  readonly spec: EngineSpec | null;
}

/**
 * Says from where a replica should copy what it lacks of a prompt's shared parts.
 *
 * A burst of long prompts finds the replica that keeps their shared parts full.
 * Sent to another one, the parts would be read there again, which takes its time
 * from everybody; copied, they take the link's.
 *
 * @param facts - who keeps what, and how fast it is read and copied
 * @returns null where reading is as quick, or nobody is known to keep more
 */
export function chooseFetch({
  holders,
  target,
  ownTokens,
  tokensPerMs,
  spec,
}: FetchFacts): CacheFetch | null {
  const best = holders.find(({ load }) => load !== target);
  const tokens = (best?.tokens ?? 0) - ownTokens;
  const tookMs = fetchMs(tokens, spec);
  if (!best || tokens < MIN_FETCH_TOKENS || tookMs === null) {
    return null;
  }
  return tookMs < tokens / tokensPerMs
    ? { from: best.load.replica, tokens, tookMs, isKnown: best.isKnown }
    : null;
}
