import type { GatewayAttempt } from './BackendLoad.js';
import { isBarred } from './crashes/crashesOf.js';
import type { GatewayBoard } from './GatewayBoard.js';

/**
 * Whether the request of an attempt may still be sent to its replica. To be called
 * before any byte is sent.
 *
 * @param board - the blackboard
 * @param attempt - the attempt
 * @returns false once the replica is leaving, gone, restarted, paused or of another
 *   version, or the request is barred because its content has crashed other replicas
 */
export function passesLastCheck(
  board: GatewayBoard,
  { load, request, softwareVersion }: GatewayAttempt,
): boolean {
  const known = board.replicas.find(load.replica.id);
  return (
    known?.leaving === false &&
    // The events of the attempt are attributed to the version that it was placed at.
    known.softwareVersion === softwareVersion &&
    board.backends.get(known.id) === load &&
    !board.pauses.isPaused(load.replica) &&
    !isBarred(board, request)
  );
}
