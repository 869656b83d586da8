import type { ServerResponse } from 'node:http';

import type { GatewayContext } from '../GatewayContext.js';
import { CallerResponse } from './CallerResponse.js';

const STATUSES_PER_CLASS = 100;

/** Label of a status in metrics; only statuses that make a promise have one of their own. */
function statusLabel(status: number, makesPromise: boolean): string {
  return makesPromise
    ? String(status)
    : `${Math.floor(status / STATUSES_PER_CLASS)}xx`;
}

/**
 * Creates the response to a caller, whose status is counted.
 *
 * @param context - shared parts of the instance
 * @param res - response of the caller's connection
 * @returns the response, of which nothing is written
 */
export function createCallerResponse(
  context: GatewayContext,
  res: ServerResponse,
): CallerResponse {
  const { dialect, metrics, responseWatch } = context;
  const response = new CallerResponse(res, {
    isStopping: () => context.leaving,
    promisesNotRun: dialect.promisesNotRun,
    onStatus: (status, decidedBy, proof) => {
      metrics.statuses.inc({
        status: statusLabel(status, dialect.promisesNotRun(status)),
        decided_by: decidedBy,
        proof: proof?.kind ?? 'none',
      });
    },
  });
  responseWatch.setWriter(res, response);
  return response;
}
