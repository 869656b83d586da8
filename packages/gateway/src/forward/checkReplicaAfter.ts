import type { Replica } from '@jujubecroft/types';

import type { ExchangeEnd } from '../backends/sendAttempt.js';
import type { GatewayContext } from '../GatewayContext.js';

/**
 * Checks whether a replica can still be reached, if its connection was reset.
 *
 * @param context - shared parts of the instance
 * @param replica - replica of the attempt
 * @param exchangeEnd - how the exchange ended
 */
export function checkReplicaAfter(
  { router, replicaConnector }: GatewayContext,
  replica: Replica,
  exchangeEnd: ExchangeEnd,
): void {
  // If the path is lost, kept connections are of no use either.
  if (
    exchangeEnd.kind === 'failed' &&
    exchangeEnd.wasReset &&
    router.board.paths.takeCheck(replica)
  ) {
    void replicaConnector.check(replica);
  }
}
