import type { GatewayAttempt } from '../BackendLoad.js';
import type { GatewayBoard } from '../GatewayBoard.js';
import { isUnresponsive } from '../usableCandidates.js';
import { isIdempotent } from './decideRecovery.js';

/**
 * Whether a retry is left for an attempt elsewhere that may lead to nothing, besides one for
 * each request that has to leave a silent replica if that turns out to be dead.
 *
 * @param board - the blackboard
 * @param attempt - the attempt at a silent replica
 */
export function hasSpareRetry(
  board: GatewayBoard,
  { load, request: { service } }: GatewayAttempt,
): boolean {
  const waiting = [...board.backends.values()]
    .filter(
      other =>
        other === load ||
        (other.replica.service === service.id && isUnresponsive(board, other)),
    )
    .flatMap(({ attempts }) => [...attempts])
    .filter(({ request }) => isIdempotent(request.route));
  return board.budget.left(service.id) >= waiting.length + 1;
}
