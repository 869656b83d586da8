import type { Socket } from 'node:net';
import type { Replica } from '@jujubecroft/types';

import type { GatewayContext } from '../GatewayContext.js';

/**
 * Time without any byte from a replica after which kept connections to it are
 * not trusted while several paths are lost.
 */
const TRUSTED_SILENCE_MS = 300;

/**
 * Records that another instance connected to a replica and this one could not,
 * and closes kept connections that may be lost as well: a request that is sent
 * on one of them could not be repeated.
 *
 * @param context - shared parts of the instance
 * @param replica - the replica
 * @param socket - the connection through the other instance
 */
export function onPathLost(
  { router, relay, connections, log, clock }: GatewayContext,
  replica: Replica,
  socket: Socket,
): void {
  if (!router.onPathLost(replica)) {
    return;
  }
  const { board } = router;
  log.write('pathLost', {
    backendServer: replica.id,
    service: replica.service,
    ...relay.relayOf(socket),
    lostPaths: board.paths.lostCount,
  });
  connections.closeIdle(replica);
  if (board.paths.suspectsOwnLinks) {
    board.backends.forEach(({ replica: other, lastByteMs }) => {
      if (clock() - lastByteMs > TRUSTED_SILENCE_MS) {
        connections.closeIdle(other);
      }
    });
  }
}
