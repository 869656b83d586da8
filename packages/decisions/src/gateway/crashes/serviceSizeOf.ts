import type { BackendServerId } from '@jujubecroft/types';

import type { ReplicaRegistry } from '../ReplicaRegistry.js';

/**
 * Counts the replicas of a replica's service.
 *
 * @param replicas - the known replicas
 * @param id - the replica
 * @returns their number, including the replica; 0 if it is unknown
 */
export function serviceSizeOf(
  { replicas }: Pick<ReplicaRegistry, 'replicas'>,
  id: BackendServerId,
): number {
  const service = replicas.find(replica => replica.id === id)?.service;
  return replicas.filter(replica => replica.service === service).length;
}
