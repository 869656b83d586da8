import type { ServerResponse } from 'node:http';
import type { RequestId, ResultCodeId } from '@jujubecroft/types';

import type { ExecutionRecord } from '../execution/ExecutionRecord.js';
import { createCallerResponse } from '../forward/createCallerResponse.js';
import { gatewayResponse } from '../forward/gatewayResponse.js';
import { STALE_VIEW_RETRY_MS } from '../forward/placeWhenViewUsable.js';
import type { GatewayContext } from '../GatewayContext.js';

/** Retry delays sent with refusals after which the same request may succeed. */
const RETRY_AFTER_MS: Partial<Record<ResultCodeId, number>> = {
  // An instance usually receives a configuration within a second.
  noRoutingKnown: 500,
  viewOutdated: STALE_VIEW_RETRY_MS,
  // Callers can reach another instance at once.
  instanceLeaving: STALE_VIEW_RETRY_MS,
  // Bodies are sent on within a fraction of a second.
  memoryFull: 300,
};

/** A request that no attempt was made for, and its response. */
export interface UnsentCall {
  readonly context: GatewayContext;
  readonly res: ServerResponse;
  readonly execution: ExecutionRecord;
}

/**
 * Refuses a request that no attempt was made for.
 *
 * @param call - the request and its response
 * @param code - result code
 * @param id - id of the request; null if it has none
 * @param fields - further fields for the log
 */
export function refuseRequest(
  { context, res, execution }: UnsentCall,
  code: ResultCodeId,
  id: RequestId | null,
  fields: Readonly<Record<string, unknown>> = {},
): void {
  const retryAfterMs = RETRY_AFTER_MS[code] ?? 0;
  const response = createCallerResponse(context, res);
  const complete = gatewayResponse(context.dialect, code, id, retryAfterMs);
  const proof = execution.proveNotRun();
  const isSent = !response.isClosed && proof !== null;
  if (isSent) {
    response.refuse(complete, proof);
  } else {
    response.cut(code);
  }
  const table = context.router.board.table;
  context.metrics.refusals.inc({ code, priority: '' });
  context.log.write('requestRefused', {
    request: id,
    code,
    status: isSent ? complete.status : null,
    decidedBy: complete.decidedBy,
    proof: proof?.kind ?? null,
    retryAfterMs,
    configuration: table?.cfg.version ?? null,
    ...fields,
  });
}
