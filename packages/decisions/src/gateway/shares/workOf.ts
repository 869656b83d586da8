import type { GatewayRequest } from '../BackendLoad.js';
import type { GatewayBoard } from '../GatewayBoard.js';
import { estimatesOf } from '../GatewayBoard.js';
import type { PlacedCandidate } from '../placement/PlacementPolicy.js';

/**
 * Prompt tokens whose reading takes a replica as long as writing one output
 * token; 2 to 11 at the engines of the replays.
 */
const OUTPUT_TOKEN_WEIGHT = 4;

/**
 * Returns the work of a request.
 *
 * @param board - the blackboard
 * @param request - the request
 * @param best - its best candidate
 * @returns prompt tokens to be read plus weighted output tokens; for a plain
 *   service, the mean time of its answers in milliseconds
 */
export function workOf(
  board: GatewayBoard,
  { service, route, prompt }: GatewayRequest,
  { unreadTokens }: Pick<PlacedCandidate, 'unreadTokens'>,
): number {
  if (!service.engine) {
    return estimatesOf(board, service.id).answerMs;
  }
  const pieces = board.lengths.predict(route.id, prompt, service);
  const outputTokens = pieces * service.engine.tokensPerEvent;
  return unreadTokens + OUTPUT_TOKEN_WEIGHT * outputTokens;
}
