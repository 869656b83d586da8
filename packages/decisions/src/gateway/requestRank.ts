import type { GatewayRequest } from './BackendLoad.js';
import type { GatewayBoard } from './GatewayBoard.js';
import type { Urgency } from './placement/serviceRank.js';
import { serviceRank } from './placement/serviceRank.js';

/**
 * The rank at which a request goes to a replica.
 *
 * @param board - knows how many priorities the service's requests have
 * @param request - the request
 * @param urgency - among those of its priority
 * @returns a rank from 0 to 9
 */
export function requestRank(
  { table }: GatewayBoard,
  { service, priority }: Pick<GatewayRequest, 'priority' | 'service'>,
  urgency: Urgency,
): number {
  const priorities = table?.priorities(service.id).count ?? 1;
  return serviceRank(priority, urgency, priorities);
}
