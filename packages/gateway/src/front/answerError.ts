import type { RequestId } from '@jujubecroft/types';

import { createCallerResponse } from '../forward/createCallerResponse.js';
import { gatewayResponse } from '../forward/gatewayResponse.js';
import { toError } from '../util/toError.js';
import type { UnsentCall } from './refuseRequest.js';

/** What the caller of a request gets after an unexpected error. */
type ErrorOutcome = 'closed' | 'cut' | 'delivered' | 'failed' | 'refused';

function finish(
  { context, res, execution }: UnsentCall,
  id: RequestId | null,
): ErrorOutcome {
  if (res.writableEnded) {
    return 'delivered';
  }
  const response = createCallerResponse(context, res);
  if (response.isClosed) {
    return 'closed';
  }
  if (response.hasStarted) {
    response.cut();
    return 'cut';
  }
  const proof = execution.proveNotRun();
  if (proof) {
    response.refuse(
      gatewayResponse(context.dialect, 'internalNotRun', id, 0),
      proof,
    );
    return 'refused';
  }
  response.send(gatewayResponse(context.dialect, 'internal', id, 0));
  return 'failed';
}

/**
 * Ends a request whose handling threw an error. A response that has begun is cut; otherwise
 * the caller is told whether the request certainly did not run.
 *
 * @param call - the request and its response
 * @param id - id of the request; null if it has none
 * @param thrown - what was thrown
 */
export function answerError(
  call: UnsentCall,
  id: RequestId | null,
  thrown: unknown,
): void {
  const { log, metrics, responseWatch } = call.context;
  responseWatch.note(call.res, 'error');
  const outcome = finish(call, id);
  metrics.requestErrors.inc({ outcome });
  const error = toError(thrown);
  log.write('unexpectedError', {
    request: id,
    outcome,
    error: error.stack ?? error.message,
  });
}
