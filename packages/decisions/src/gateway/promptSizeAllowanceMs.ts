import type { GatewayRequest } from './BackendLoad.js';
import type { GatewayBoard } from './GatewayBoard.js';
import type { PlacedCandidate } from './placement/PlacementPolicy.js';

/**
 * Returns how much later a large request may start than one of its route's
 * usual size.
 *
 * Admission lets queues grow up to its bounds. Small requests then still fit
 * below the bounds, but large ones would never be admitted. Therefore the time
 * to read the part beyond the usual size is disregarded, and a large request is
 * admitted at the same queue length as one of usual size.
 *
 * @param board - blackboard that provides the usual size
 * @param request - the request
 * @param best - its best candidate
 * @returns the time in milliseconds; 0 for a request of usual size or smaller
 */
export function promptSizeAllowanceMs(
  board: GatewayBoard,
  { route }: GatewayRequest,
  { unreadTokens, ownReadMs }: PlacedCandidate,
): number {
  const usualTokens = board.demand.meanOfferedTokens(route.id);
  const beyondUsual = Math.max(0, unreadTokens - usualTokens);
  return beyondUsual > 0 ? (ownReadMs * beyondUsual) / unreadTokens : 0;
}
