import type { BackendServer, InstanceId } from '@jujubecroft/types';
import { groupBy } from '@jujubecroft/types';

import { byHash } from '../util/byHash.js';

interface RingEntry {
  readonly server: BackendServer;
  /** Position on the ring, in [0, 1). */
  readonly position: number;
}

/**
 * Spreads the servers of each failure domain evenly over the ring, so that any
 * arc spans domains.
 */
function placeOnRing(servers: readonly BackendServer[]): readonly RingEntry[] {
  return [...groupBy(servers, ({ failureDomain }) => failureDomain).values()]
    .flatMap(members =>
      [...members]
        .sort((a, b) => byHash(a.id, b.id))
        .map((server, rank) => ({ server, position: rank / members.length })),
    )
    .sort(
      (a, b) => a.position - b.position || byHash(a.server.id, b.server.id),
    );
}

/**
 * Chooses the servers that one instance uses.
 *
 * Each instance takes evenly spaced positions on a ring of servers and is
 * shifted by an equal step from the next instance. Every server is then used by
 * the same number of instances, give or take one, and an instance that joins or
 * leaves moves each position by at most one step. See docs/design/subsets.md.
 *
 * @param servers - all servers of a pool
 * @param instances - all live instances
 * @param self - the instance that chooses
 * @param size - number of servers per instance
 * @returns the subset; all servers if there are no more than `size`
 */
export function evenSubset(
  servers: readonly BackendServer[],
  instances: readonly InstanceId[],
  self: InstanceId,
  size: number,
): readonly BackendServer[] {
  if (servers.length <= size) {
    return servers;
  }
  const ring = placeOnRing(servers);
  const ordered = [...instances].sort(byHash);
  const rank = Math.max(0, ordered.indexOf(self));
  const step = ring.length / size;
  const offset = (rank / Math.max(1, ordered.length)) * step;
  return Array.from({ length: size }, (_, place) => {
    const index = Math.floor(offset + place * step) % ring.length;
    return ring[index]?.server;
  }).filter(server => server !== undefined);
}
