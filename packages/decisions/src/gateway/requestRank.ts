import type { GatewayRequest } from './BackendLoad.js';
import type { GatewayBoard } from './GatewayBoard.js';
import type { Urgency } from './placement/serviceRank.js';
import { serviceRank } from './placement/serviceRank.js';

/**
 * Returns the rank at which a replica serves a request.
 *
 * @param board - blackboard that provides the number of the service's
 *   priorities
 * @param request - the request
 * @param urgency - urgency among requests of the same priority
 * @returns the rank, from 0 (served first) to 9
 */
export function requestRank(
  { table }: GatewayBoard,
  { service, priority }: Pick<GatewayRequest, 'priority' | 'service'>,
  urgency: Urgency,
): number {
  const priorities = table?.priorities(service.id).count ?? 1;
  return serviceRank(priority, urgency, priorities);
}
