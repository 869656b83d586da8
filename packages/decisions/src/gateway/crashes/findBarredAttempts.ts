import type { GatewayAttempt } from '../BackendLoad.js';
import type { GatewayBoard } from '../GatewayBoard.js';
import { isBarred } from './crashesOf.js';

/**
 * Returns the attempts without a first byte whose request has become barred and may
 * crash its replica.
 *
 * @param board - the blackboard
 */
export function findBarredAttempts(
  board: GatewayBoard,
): readonly GatewayAttempt[] {
  const { barred, parts } = board.crashes;
  if (barred.length === 0 && parts.barred.length === 0) {
    return [];
  }
  return [...board.backends.values()].flatMap(load =>
    [...load.attempts].filter(
      ({ firstByteMs, request }) =>
        firstByteMs === null && isBarred(board, request),
    ),
  );
}
