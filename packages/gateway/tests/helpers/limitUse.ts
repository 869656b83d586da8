import { groupBy } from '@jujubecroft/types';

import type { Arrival } from './VirtualFleet.js';

const WINDOW_MS = 4000;
const MS_PER_SECOND = 1000;
/** An instance is bound so long after it has passed on an answer that names the limit. */
const INSTANCE_GRACE_MS = 500;
/** What a replica may get beyond its limit. */
const TOLERANCE = 1.5;
const EXTRA_REQUESTS = 5;

/** What a limited replica may get in any four seconds. */
export function allowedInWindow(perS: number): number {
  return (TOLERANCE * perS * WINDOW_MS) / MS_PER_SECOND + EXTRA_REQUESTS;
}

/** When each instance was first told of a replica's limit. */
function limitLearntAtMs(
  arrivals: readonly Arrival[],
): ReadonlyMap<string, number> {
  return arrivals
    .filter(({ namedLimit: toldLimit }) => toldLimit)
    .reduce(
      (told, { instance, answeredAtMs }) =>
        told.set(
          instance,
          Math.min(answeredAtMs, told.get(instance) ?? Infinity),
        ),
      new Map<string, number>(),
    );
}

/**
 * The most that a replica got in four seconds from instances that knew its limit.
 *
 * @param arrivals - at this replica, in order
 * @param fromMs - from when the limit binds
 */
export function peakInWindow(
  arrivals: readonly Arrival[],
  fromMs: number,
): number {
  const told = limitLearntAtMs(arrivals);
  const bound = arrivals
    .filter(
      ({ instance, atMs }) =>
        atMs >= fromMs &&
        atMs > (told.get(instance) ?? Infinity) + INSTANCE_GRACE_MS,
    )
    .map(({ atMs }) => atMs);
  return bound.reduce((most, atMs, index) => {
    const end = bound.findIndex(other => other >= atMs + WINDOW_MS);
    return Math.max(most, (end === -1 ? bound.length : end) - index);
  }, 0);
}

/** @returns the arrivals at each replica */
export function groupByReplica(
  arrivals: readonly Arrival[],
): ReadonlyMap<string, readonly Arrival[]> {
  return groupBy(arrivals, ({ replica }) => replica as string);
}
