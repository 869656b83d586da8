import type { AttemptResult } from '@jujubecroft/decisions';
import type { Replica } from '@jujubecroft/types';

import type { ExchangeEnd } from '../backends/sendAttempt.js';
import type { GatewayContext } from '../GatewayContext.js';

/**
 * Time from the end of an answer that only the end of its connection delimits to the check
 * of its replica. A replica that crashes may still accept connections for a moment.
 */
const UNPROVEN_END_CHECK_MS = 100;

function check(
  { router, replicaConnector }: GatewayContext,
  replica: Replica,
): void {
  if (router.board.paths.takeCheck(replica)) {
    void replicaConnector.check(replica);
  }
}

/**
 * Checks whether a replica can still be reached, if the end of an attempt leaves that open.
 *
 * @param context - shared parts of the instance
 * @param replica - replica of the attempt
 * @param exchangeEnd - how the exchange ended
 * @param result - how the attempt ended
 */
export function checkReplicaAfter(
  context: GatewayContext,
  replica: Replica,
  exchangeEnd: ExchangeEnd,
  result: AttemptResult,
): void {
  // If the path is lost, kept connections are of no use either.
  if (exchangeEnd.kind === 'failed' && exchangeEnd.wasReset) {
    check(context, replica);
  }
  if (result.kind === 'answered' && result.framing === 'closeDelimited') {
    context.timers.after(UNPROVEN_END_CHECK_MS, () => {
      check(context, replica);
    });
  }
}
