import { compareHashed } from '../../util/byHash.js';
import type { BackendLoad } from '../BackendLoad.js';

/**
 * Creates a function that orders replicas by the hash of their ids, so that all
 * instances agree on the order.
 *
 * The replicas seldom change from one request to the next, so the last order is
 * kept for as long as they are the same.
 *
 * @returns a function of the loads of replicas in any order
 */
export function createHashOrder(): (
  loads: readonly BackendLoad[],
) => readonly BackendLoad[] {
  let last: readonly BackendLoad[] = [];
  let ordered: readonly BackendLoad[] = [];
  return loads => {
    const isSame =
      loads.length === last.length &&
      loads.every((load, index) => load === last[index]);
    if (!isSame) {
      last = [...loads];
      ordered = [...loads].sort((a, b) =>
        compareHashed(a.hashedId, b.hashedId),
      );
    }
    return ordered;
  };
}
