import { viewAgeMs } from '@jujubecroft/decisions';
import { formatStoreVersion } from '@jujubecroft/types';

import type { GatewayContext } from '../GatewayContext.js';
import type { BypassListener } from './ViewLease.js';

/**
 * Logs and counts the periods in which requests are placed by an outdated view.
 *
 * @param context - context of the instance
 * @returns the listener for the view lease
 */
export function createBypassLogger({
  clock,
  log,
  metrics,
  router,
}: GatewayContext): BypassListener {
  const { board } = router;
  let sinceMs = 0;
  return isBypassed => {
    const { replicas, storeClock } = board;
    if (!isBypassed) {
      log.write('viewLeaseRestored', {
        afterMs: Math.round(clock() - sinceMs),
      });
      return;
    }
    sinceMs = clock();
    metrics.leaseBypasses.inc();
    log.write('viewLeaseBypassed', {
      replicasVersion: formatStoreVersion(replicas.version),
      viewAgeMs: Math.round(viewAgeMs(board)),
      peersAgeMs: Math.round(storeClock.ageOf(board.peersAsOfMs)),
      confirmedBy: board.replicasConfirmedBy,
    });
  };
}
