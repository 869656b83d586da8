import { groupBy } from '@jujubecroft/types';

import type { Arrival } from './VirtualFleet.js';

const WINDOW_MS = 4000;
const MS_PER_SECOND = 1000;
/**
 * Time after the first answer with the limit from which an instance has to respect it.
 */
const INSTANCE_GRACE_MS = 500;
/** Tolerated excess over the limit, as a factor and as a number of requests. */
const TOLERANCE = 1.5;
const EXTRA_REQUESTS = 5;

/**
 * @returns the maximum number of requests that a limited replica may get in four
 * seconds
 */
export function allowedInWindow(perS: number): number {
  return (TOLERANCE * perS * WINDOW_MS) / MS_PER_SECOND + EXTRA_REQUESTS;
}

/**
 * @returns the time at which each instance first got an answer with the replica's limit
 */
function limitLearntAtMs(
  arrivals: readonly Arrival[],
): ReadonlyMap<string, number> {
  return arrivals
    .filter(({ statedLimit: namedLimit }) => namedLimit)
    .reduce(
      (learnt, { instance, answeredAtMs }) =>
        learnt.set(
          instance,
          Math.min(answeredAtMs, learnt.get(instance) ?? Infinity),
        ),
      new Map<string, number>(),
    );
}

/**
 * Returns the maximum number of requests that a replica got in any four seconds from
 * instances that knew its limit.
 *
 * @param arrivals - requests that reached this replica, in order
 * @param fromMs - virtual time from which the limit has to be respected
 */
export function peakInWindow(
  arrivals: readonly Arrival[],
  fromMs: number,
): number {
  const learntAtMs = limitLearntAtMs(arrivals);
  const countedAtMs = arrivals
    .filter(
      ({ instance, atMs }) =>
        atMs >= fromMs &&
        atMs > (learntAtMs.get(instance) ?? Infinity) + INSTANCE_GRACE_MS,
    )
    .map(({ atMs }) => atMs);
  return countedAtMs.reduce((most, atMs, index) => {
    const end = countedAtMs.findIndex(other => other >= atMs + WINDOW_MS);
    return Math.max(most, (end === -1 ? countedAtMs.length : end) - index);
  }, 0);
}

/** @returns the arrivals, grouped by replica */
export function groupByReplica(
  arrivals: readonly Arrival[],
): ReadonlyMap<string, readonly Arrival[]> {
  return groupBy(arrivals, ({ replica }) => replica as string);
}
