import type { ReplayLoad } from './burstLoad.js';
import { BURST_LOAD } from './burstLoad.js';
import type { UnevenHosts } from './HostPace.js';
import { TIGHT_LOAD } from './tightLoad.js';
import { UNEVEN_LOAD } from './unevenLoad.js';

/** How instances exchange reports on their work. */
export type ReplayExchange =
  /** Each instance receives the reports of all others once per round, after a delay in milliseconds. */
  | { readonly kind: 'everyone'; readonly delayMs: number }
  /** Each instance calls `fanout` random others per round; both sides send their reports. */
  | { readonly kind: 'few'; readonly fanout: number };

/** Fleet and load of a replay. */
export interface ReplayShape {
  readonly load: ReplayLoad;
  readonly instances: number;
  readonly replicas: number;
  /** Slots of each replica. */
  readonly slots: number;
  /** Factor on arrival rates and on the number of shared prompt parts; 1 for the small fleet. */
  readonly scale: number;
  readonly exchange: ReplayExchange;
  /** Whether refused callers retry once, after the time that the refusal names. */
  readonly callersRetry?: boolean;
  /** Restarts of instances, which lose all that they have learned. */
  readonly restarts?: readonly ReplayRestart[];
  /** Engines that reject all requests for a while; none if omitted. */
  readonly overload?: ReplayOverload;
  /** Whether instances divide short capacity among organisations; false if omitted. */
  readonly dividesCapacity?: boolean;
  /** Time in which the first organisation sends more requests; none if omitted. */
  readonly surge?: ReplaySurge;
  /** Engines that announce their leave in answers; none if omitted. */
  readonly leave?: ReplayLeave;
  /** Hosts of different speed; all are the same if omitted. */
  readonly uneven?: UnevenHosts;
  /** Requests that wait at an engine at most; it rejects others. No bound if omitted. */
  readonly queue?: number;
}

/** Engines that reject all requests for a while, each with a requested pause. */
export interface ReplayOverload {
  readonly fromMs: number;
  readonly toMs: number;
  /** Number of engines, counted from the first. */
  readonly engines: number;
  readonly pauseMs: number;
}

/** Engines that announce from some time on, in answers alone, that they are leaving. */
export interface ReplayLeave {
  readonly fromMs: number;
  /** Number of engines, counted from the last. */
  readonly engines: number;
}

/** A time in which the first organisation sends several times its usual requests. */
export interface ReplaySurge {
  readonly fromMs: number;
  readonly toMs: number;
  /** Factor on the organisation's arrival rates; 1 for a replay without a surge. */
  readonly factor: number;
}

/** A simultaneous restart of several instances. */
export interface ReplayRestart {
  readonly atMs: number;
  /** Number of instances that restart, counted from the first. */
  readonly instances: number;
}

/** Interval between exchanges of reports. */
export const EXCHANGE_MS = 250;

/** A fleet of the size that users operate today. */
export const SMALL_FLEET: ReplayShape = {
  load: BURST_LOAD,
  instances: 6,
  replicas: 8,
  slots: BURST_LOAD.engine.slots,
  scale: 1,
  exchange: { kind: 'everyone', delayMs: EXCHANGE_MS },
};

/** A fleet several times as large, with smaller engines; instances gossip with one other per round. */
export const LARGE_FLEET: ReplayShape = {
  load: BURST_LOAD,
  instances: 60,
  replicas: 42,
  slots: 32,
  scale: 5.2,
  exchange: { kind: 'few', fanout: 1 },
};

/** A fleet with too few engines for a burst with tight targets. */
export const TIGHT_FLEET: ReplayShape = {
  load: TIGHT_LOAD,
  instances: 6,
  replicas: 6,
  slots: TIGHT_LOAD.engine.slots,
  scale: 1,
  exchange: { kind: 'everyone', delayMs: EXCHANGE_MS },
};

/** Replicas of different speed with few slots, some of which are slower at times. */
export const UNEVEN_FLEET: ReplayShape = {
  load: UNEVEN_LOAD,
  instances: 6,
  replicas: 9,
  slots: 12,
  scale: 1,
  exchange: { kind: 'everyone', delayMs: EXCHANGE_MS },
  uneven: { isReported: true, hasMoments: true },
  queue: 6,
};

/**
 * Returns a fleet with replicas of different speed and many instances, which gossip
 * with one other per round.
 *
 * @param instances - number of instances
 * @param replicas - number of replicas, to which the load is scaled
 */
export function largeUnevenFleet(
  instances: number,
  replicas: number,
): ReplayShape {
  return {
    ...UNEVEN_FLEET,
    instances,
    replicas,
    scale: replicas / UNEVEN_FLEET.replicas,
    exchange: { kind: 'few', fanout: 1 },
  };
}
