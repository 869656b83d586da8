import type { RouteId } from '@jujubecroft/types';

/** Pause between pieces assumed before any came, in milliseconds. */
export const PRIOR_PACE_MS = 30;
/** Least and most weight of the newest pause. */
const MIN_WEIGHT = 0.03;
const MAX_WEIGHT = 0.1;
/** Pause that counts fully; shorter ones come more often and count less. */
const FULL_PAUSE_MS = 6000;

/**
 * Takes a pause into a smoothed pace.
 *
 * Slow streams give few samples: with one weight for all, one slow stream would
 * take thirteen seconds to show, as long as callers wait.
 *
 * @param paceMs - so far
 * @param pauseMs - time between two pieces of one stream
 * @returns the new pace
 */
export function withPause(paceMs: number, pauseMs: number): number {
  const share = pauseMs / FULL_PAUSE_MS;
  const weight = Math.min(MAX_WEIGHT, Math.max(MIN_WEIGHT, share));
  return paceMs + weight * (pauseMs - paceMs);
}

/**
 * Pauses between pieces of each route's streams, wherever they run.
 *
 * In a large fleet an instance has a stream on few of the replicas at a time and
 * knows nothing fresh of the others. What its own streams of the same route have
 * seen elsewhere is the better guess than what was seen there long ago.
 */
export class RoutePaces {
  readonly #paces = new Map<RouteId, number>();

  /** Takes in the time between two pieces of one stream, in milliseconds. */
  onPause(route: RouteId, pauseMs: number): void {
    this.#paces.set(route, withPause(this.paceMs(route), pauseMs));
  }

  /** @returns the smoothed pause, in milliseconds */
  paceMs(route: RouteId): number {
    return this.#paces.get(route) ?? PRIOR_PACE_MS;
  }
}
