import type { Crash } from './crashNews.js';
import { JOINT_CRASH_MS } from './parts/groupJointCrashes.js';

/** Share of a service's replicas, and their number, that crash together in a mass crash. */
const MIN_SHARE = 1 / 3;
const MIN_CRASHES = 4;

/**
 * Whether so many replicas crashed at about the same time that one request is unlikely to
 * be the cause.
 *
 * @param crash - one of the crashes
 * @param all - all known crashes
 */
export function isMassCrash(
  { atMs, serviceSize }: Crash,
  all: readonly Crash[],
): boolean {
  const joint = all.filter(
    other => !other.goesOn && Math.abs(other.atMs - atMs) <= JOINT_CRASH_MS,
  );
  return joint.length >= Math.max(MIN_CRASHES, MIN_SHARE * serviceSize);
}
