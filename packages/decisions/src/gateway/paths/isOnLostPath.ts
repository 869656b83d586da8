import type { GatewayAttempt } from '../BackendLoad.js';
import type { GatewayBoard } from '../GatewayBoard.js';

/**
 * Whether an attempt was sent before the path to its replica was last lost. Its
 * silence or failure says nothing about the replica.
 *
 * @param board - blackboard that knows the paths
 * @param attempt - the attempt
 */
export function isOnLostPath(
  { paths }: Pick<GatewayBoard, 'paths'>,
  { load, sentMs }: GatewayAttempt,
): boolean {
  return sentMs < paths.lastLostMs(load.replica);
}
