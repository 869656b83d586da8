import { rotated } from '../../util/rotated.js';
import type { BackendLoad, GatewayAttempt } from '../BackendLoad.js';
import type { GatewayBoard } from '../GatewayBoard.js';
import { candidatesOf } from '../GatewayBoard.js';
import type { PlacedCandidate } from '../placement/PlacementPolicy.js';
import { usableCandidates } from '../usableCandidates.js';

/** Candidates of which the least busy is taken; all instances choose at one time. */
const DRAWN = 3;
/** What another failure domain counts like, in requests: copies take twice as long. */
const FAR_REQUESTS = 2;

/**
 * Chooses where a run goes on whose replica leaves.
 *
 * @param board - the blackboard
 * @param attempt - that is to move
 * @returns null where no replica has room
 */
export function placeMove(
  board: GatewayBoard,
  { request, load: source }: GatewayAttempt,
): PlacedCandidate | null {
  const { service } = request;
  const others = candidatesOf(board, service.id).filter(
    load => load !== source && load.totalInFlight < load.replica.slots,
  );
  const costOf = ({ replica, totalInFlight }: BackendLoad): number =>
    totalInFlight +
    (replica.failureDomain === source.replica.failureDomain ? 0 : FAR_REQUESTS);
  const [best] = rotated(usableCandidates(board, request, others), board.random)
    .slice(0, DRAWN)
    .sort((a, b) => costOf(a) - costOf(b));
  return best
    ? {
        load: best,
        unreadTokens: 0,
        tokensAhead: 0,
        fetch: null,
        isDeferred: false,
        predictedMs: best.paceMs,
        ownReadMs: 0,
        predictedWholeMs: best.paceMs,
        cost: costOf(best),
      }
    : null;
}
