import type { IncomingMessage, ServerResponse } from 'node:http';
import type { GatewayRequest, Match } from '@jujubecroft/decisions';
import type { RequestId, ResultCodeId } from '@jujubecroft/types';

import { CallerAnswer } from '../forward/CallerAnswer.js';
import { fingerprintOf } from '../forward/fingerprintOf.js';
import type { IncomingCall } from '../forward/ForwardedRequest.js';
import { ForwardedRequest } from '../forward/ForwardedRequest.js';
import { ownAnswer } from '../forward/ownAnswer.js';
import { BEHIND_RETRY_MS } from '../forward/placeOnView.js';
import type { GatewayContext } from '../GatewayContext.js';
import { nextTurn } from '../util/nextTurn.js';
import { once } from '../util/once.js';
import { readBody } from './readBody.js';
import type { RequestsUnderWay } from './RequestsUnderWay.js';

type Matched = Extract<Match, { kind: 'matched' }>;

/** Told with refusals after which the same request may succeed. */
const RETRY_AFTER_MS: Partial<Record<ResultCodeId, number>> = {
  // An instance mostly knows a configuration within a second.
  noRoutingKnown: 500,
  viewOutdated: BEHIND_RETRY_MS,
};
/** Body bound while no configuration is known. */
const DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024;
const DEFAULT_MAX_HEAD_BYTES = 16 * 1024;

/**
 * Waits until the end of a connection was read, if it has come.
 *
 * Guards against working for callers that have left: an instance that is held up
 * finds a request and the end of its connection together, and the request comes
 * first. It shows as replicas that run requests long after their callers gave up,
 * in the seconds after a loss of power above all. The event loop reads the end in
 * the turn after the one that read the request.
 */
async function endIsRead(): Promise<void> {
  await nextTurn();
  await nextTurn();
}

/** Bytes of the header lines of a request. */
function headBytes(req: IncomingMessage): number {
  return req.rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
}

function refuse(
  context: GatewayContext,
  res: ServerResponse,
  code: ResultCodeId,
  id: RequestId | null,
  facts: Readonly<Record<string, unknown>> = {},
): void {
  const retryAfterMs = RETRY_AFTER_MS[code] ?? 0;
  const answer = new CallerAnswer(res, () => context.leaving);
  if (!answer.isClosed) {
    answer.send(ownAnswer(context.dialect, code, id, retryAfterMs));
  }
  const table = context.router.board.table;
  context.metrics.refusals.inc({ code, priority: '' });
  context.log.write('requestRefused', {
    request: id,
    code,
    retryAfterMs,
    configuration: table?.cfg.version ?? null,
    ...facts,
  });
}

function toGatewayRequest(
  context: GatewayContext,
  call: IncomingCall,
  id: RequestId,
  { route, service, organisation, priority }: Matched,
  arrivedMs: number,
): GatewayRequest {
  const { head } = call;
  const timeLeftMs = head.timeLeftMs ?? route.timeoutMs;
  return {
    id,
    route,
    service,
    organisation: organisation?.id ?? null,
    priority,
    prompt: head.prompt,
    arrivedMs,
    deadlineMs: arrivedMs + Math.min(route.timeoutMs, timeLeftMs),
    cameBack: context.router.cameBack(route, timeLeftMs),
    fingerprint: once(() => fingerprintOf(call, organisation?.id ?? null)),
  };
}

/**
 * Handles one request of a caller.
 *
 * @param context - of the instance
 * @param underWay - requests that have not ended
 * @param req - the request
 * @param res - its answer
 */
export async function handleRequest(
  context: GatewayContext,
  underWay: RequestsUnderWay,
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  const arrivedMs = context.clock();
  const { router, dialect } = context;
  const limits = router.board.table?.cfg.limits;
  const head = dialect.readCaller(req.rawHeaders);
  const target = req.url ?? '/';
  if (headBytes(req) > (limits?.maxHeaderBytes ?? DEFAULT_MAX_HEAD_BYTES)) {
    refuse(context, res, 'headTooLarge', head.id);
    return;
  }
  const read = await readBody(
    req,
    limits?.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES,
  );
  if (read.kind === 'broken') {
    context.log.write('callerLeft', { request: head.id, code: 'bodyBroken' });
    return;
  }
  if (read.kind === 'tooLarge') {
    // What is left of the body would be read as the next request.
    res.shouldKeepAlive = false;
    refuse(context, res, 'bodyTooLarge', head.id);
    return;
  }
  await endIsRead();
  if (head.id === null) {
    refuse(context, res, 'requestIdMissing', null, { target });
    return;
  }
  if ((await context.lease.obtain()) === 'behind') {
    refuse(context, res, 'viewOutdated', head.id);
    return;
  }
  const path = target.split('?', 1)[0] ?? target;
  const match = router.match(req.headers.host ?? '', path, head.key);
  if (match.kind === 'refused') {
    refuse(context, res, match.code, head.id, { path });
    return;
  }
  const call: IncomingCall = {
    method: req.method ?? 'GET',
    target,
    headers: req.rawHeaders,
    head,
    body: read.body,
  };
  const request = toGatewayRequest(context, call, head.id, match, arrivedMs);
  router.onRequest(request);
  const forwarded = new ForwardedRequest(
    context,
    request,
    call,
    new CallerAnswer(res, () => context.leaving),
  );
  const onClose = (): void => {
    if (!res.writableFinished) {
      forwarded.withdraw('callerLeft');
    }
  };
  res.once('close', onClose);
  // The caller may have left before its request was read, or meanwhile.
  if (res.destroyed || req.socket.readableEnded) {
    onClose();
  }
  await underWay.track(forwarded);
}
