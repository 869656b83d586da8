import type { BackendLoad, GatewayAttempt } from '../BackendLoad.js';
import type { GatewayBoard } from '../GatewayBoard.js';

/** Time that is left of a replica whose reclaim has just become known, at the least. */
const RECLAIMED_LEFT_MS = 800;
/** Time that a leave has taken to become known, at the most usual. */
const KNOWN_AFTER_MS = 600;
/** Pieces that an answer may yet have where it has all that were expected. */
const MIN_PIECES_LEFT = 2;

/** Notes when it became known that a replica leaves, and tells how long ago. */
function leavingForMs(board: GatewayBoard, load: BackendLoad): number | null {
  const known = board.replicas.find(load.replica.id);
  if (known?.leaving === false) {
    load.leavingSinceMs = null;
    return null;
  }
  load.leavingSinceMs ??= board.clock();
  return board.clock() - load.leavingSinceMs;
}

function timeLeftMs(
  { drainMs }: GatewayBoard,
  { replica }: BackendLoad,
  leavingMs: number,
): number {
  const leftMs =
    replica.spot === true ? RECLAIMED_LEFT_MS : drainMs - KNOWN_AFTER_MS;
  return leftMs - leavingMs;
}

function remainingMs(
  { lengths }: GatewayBoard,
  { request, load, pieces }: GatewayAttempt,
): number {
  const { route, prompt, service } = request;
  const expected = lengths.expect(route.id, prompt, service);
  return Math.max(MIN_PIECES_LEFT, expected - pieces) * load.paceMs;
}

/**
 * Streams that will not end before their replica does.
 *
 * Guards against answers that are cut off where replicas are taken away on short
 * notice: long ones have seconds to go, and most may not begin again elsewhere.
 *
 * @param board - the blackboard
 * @returns attempts whose run should go on at another replica
 */
export function strandedAttempts(
  board: GatewayBoard,
): readonly GatewayAttempt[] {
  return [...board.backends.values()]
    .filter(({ inFlight }) => inFlight > 0)
    .flatMap(load => {
      const leavingMs = leavingForMs(board, load);
      if (leavingMs === null) {
        return [];
      }
      const leftMs = timeLeftMs(board, load, leavingMs);
      return [...load.attempts].filter(
        attempt =>
          attempt.request.service.engine?.movesRuns === true &&
          attempt.request.route.kind === 'streaming' &&
          attempt.firstByteMs !== null &&
          remainingMs(board, attempt) > leftMs,
      );
    });
}
