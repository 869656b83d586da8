import type { ClientLimitListener } from '@jujubecroft/http-server';
import { summariseLimits } from '@jujubecroft/http-server';

import type { GatewayContext } from '../GatewayContext.js';

/** Servers whose clients are limited. */
export type LimitedServer = 'callers' | 'peers' | 'side';

/**
 * Creates a function that logs and counts the connections that are closed since their
 * clients reach a limit.
 *
 * @param context - shared parts of the instance
 * @param server - whose clients they are
 * @returns the function
 */
export function createClientLimitLogger(
  {
    clock,
    log,
    metrics,
    responseWatch,
  }: Pick<GatewayContext, 'clock' | 'log' | 'metrics' | 'responseWatch'>,
  server: LimitedServer,
): ClientLimitListener {
  const summarise = summariseLimits(summary => {
    log.write('clientLimitReached', { server, ...summary });
  }, clock);
  return (connection, limit) => {
    metrics.clientLimits.inc({ server, limit });
    connection.responses.forEach(res => {
      responseWatch.note(res, 'clientLimit');
    });
    summarise(connection, limit);
  };
}
