import { compareHashed } from '../../util/byHash.js';
import type { BackendLoad } from '../BackendLoad.js';
import type { SpeedClass } from './ReplicaSpeed.js';
import type { ServiceSpeeds } from './ServiceSpeeds.js';

/** Position of each class in the order in which replicas are given to groups. */
const POSITIONS: Readonly<Record<SpeedClass, number>> = {
  slow: 0,
  usual: 1,
  fast: 2,
};

/**
 * Orders replicas by class, slow ones first, and by hash within a class.
 *
 * Groups take replicas from the front, the most delicate group first. Delicate
 * groups read short prompts and need a small part of a replica, so that they bear
 * slow replicas; long prompts and answers get the fast ones.
 *
 * @param loads - the replicas
 * @param speeds - speeds of their service; undefined if they are equally fast
 * @returns the replicas in an order on which all instances agree
 */
export function orderBySpeed(
  loads: readonly BackendLoad[],
  speeds: ServiceSpeeds | undefined,
): readonly BackendLoad[] {
  const positionOf = (load: BackendLoad): number =>
    speeds ? POSITIONS[speeds.classOf(load)] : 0;
  return [...loads].sort(
    (a, b) =>
      positionOf(a) - positionOf(b) || compareHashed(a.hashedId, b.hashedId),
  );
}
