import type { IncomingMessage, ServerResponse } from 'node:http';
import type { GatewayRequest, Match } from '@jujubecroft/decisions';
import { StreamBinding } from '@jujubecroft/decisions';
import type { RequestId, ResultCodeId, Route } from '@jujubecroft/types';

import { ExecutionRecord } from '../execution/ExecutionRecord.js';
import { createCallerResponse } from '../forward/createCallerResponse.js';
import { fingerprintOf } from '../forward/fingerprintOf.js';
import { partKeysOf } from '../forward/partKeysOf.js';
import type { IncomingRequest } from '../forward/IncomingRequest.js';
import { ForwardedRequest } from '../forward/ForwardedRequest.js';
import { gatewayResponse } from '../forward/gatewayResponse.js';
import { configurationFields } from '../forward/logFields.js';
import { STALE_VIEW_RETRY_MS } from '../forward/placeWhenViewUsable.js';
import type { GatewayContext } from '../GatewayContext.js';
import type { RequestHead } from '../ports/CallerDialect.js';
import { headerValue } from '../util/headers.js';
import { bindResumption } from '../streams/bindResumption.js';
import { nextTurn } from '../util/nextTurn.js';
import { once } from '../util/once.js';
import { readBody } from './readBody.js';
import type { CallerTurns } from './CallerTurns.js';
import type { InFlightRequests } from './InFlightRequests.js';

type MatchedRoute = Extract<Match, { kind: 'matched' }>;

/** Retry delays sent with refusals after which the same request may succeed. */
const RETRY_AFTER_MS: Partial<Record<ResultCodeId, number>> = {
  // An instance usually receives a configuration within a second.
  noRoutingKnown: 500,
  viewOutdated: STALE_VIEW_RETRY_MS,
  // Bodies are sent on within a fraction of a second.
  memoryFull: 300,
};
/** Limit for request bodies until a configuration is known. */
const DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024;
/** Limit for request heads until a configuration is known. */
const DEFAULT_MAX_HEAD_BYTES = 16 * 1024;

/**
 * Waits until the event loop has read the end of the connection, if it has
 * arrived.
 *
 * When the event loop was blocked, a request and the end of its connection may
 * arrive together, and the request is read first. Without the wait, replicas
 * would execute requests whose callers gave up long ago, above all in the
 * seconds after a power failure. The event loop reads the end in the turn after
 * the one that read the request, hence two turns.
 */
async function awaitPendingClose(): Promise<void> {
  await nextTurn();
  await nextTurn();
}

/** Size of the header lines of a request, in bytes. */
function headBytes(req: IncomingMessage): number {
  return req.rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
}

/** A request that no attempt was made for, and its response. */
interface UnsentCall {
  readonly context: GatewayContext;
  readonly res: ServerResponse;
  readonly execution: ExecutionRecord;
}

function refuse(
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

/** Whether the answer may be resumed, and whether the caller resumes an earlier one. */
function streamFieldsOf(
  route: Route,
  head: RequestHead,
): Pick<GatewayRequest, 'binding' | 'resumption'> {
  const { firstRequest, timeLeftMs } = head;
  const isStream = route.kind === 'streaming';
  const isResumed = head.lastEventId !== null;
  return {
    binding:
      isStream && (route.resumable || isResumed)
        ? new StreamBinding(timeLeftMs)
        : null,
    resumption: isStream && isResumed ? { firstRequest } : null,
  };
}

function toGatewayRequest(
  context: GatewayContext,
  call: IncomingRequest,
  id: RequestId,
  { route, service, organisation, priority }: MatchedRoute,
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
    isCallerRetry: context.router.isCallerRetry(route, timeLeftMs),
    ...streamFieldsOf(route, head),
    fingerprint: once(() => fingerprintOf(call, organisation?.id ?? null)),
    partKeys: once(() => partKeysOf(head.prompt, organisation?.id ?? null)),
  };
}

/** A request whose body is being handled, and what is needed for its response. */
interface ReceivedCall {
  readonly inFlight: InFlightRequests;
  readonly unsent: UnsentCall;
  readonly head: RequestHead;
  /** Whether the response to the previous request of the connection is complete. */
  readonly turn: Promise<boolean>;
  readonly req: IncomingMessage;
  readonly arrivedMs: number;
}

/**
 * Handles one request of a caller.
 *
 * @param context - shared parts of the instance
 * @param inFlight - unfinished requests
 * @param turns - order of the requests of each connection
 * @param req - the request
 * @param res - its response
 */
export async function handleRequest(
  context: GatewayContext,
  inFlight: InFlightRequests,
  turns: CallerTurns,
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  const arrivedMs = context.clock();
  const turn = turns.take(req, res);
  const execution = new ExecutionRecord();
  const unsent: UnsentCall = { context, res, execution };
  const limits = context.router.board.table?.cfg.limits;
  const head = context.dialect.readRequest(req.rawHeaders);
  if (headBytes(req) > (limits?.maxHeaderBytes ?? DEFAULT_MAX_HEAD_BYTES)) {
    refuse(unsent, 'headTooLarge', head.id);
    return;
  }
  const read = await readBody(
    req,
    limits?.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES,
    context.requestBudget,
  );
  switch (read.kind) {
    case 'broken':
      context.log.write('callerLeft', {
        request: head.id,
        code: 'bodyBroken',
        ...configurationFields(context.router.board),
      });
      return;
    case 'tooLarge':
      // The unread rest of the body would be parsed as the next request.
      res.shouldKeepAlive = false;
      refuse(unsent, 'bodyTooLarge', head.id);
      return;
    case 'noMemory':
      refuse(unsent, 'memoryFull', head.id);
      return;
    case 'whole':
      try {
        await handleWhole(
          { inFlight, unsent, head, turn, req, arrivedMs },
          read.body?.bytes ?? null,
        );
      } finally {
        read.body?.release();
      }
  }
}

/** Handles a request whose body is in memory. */
async function handleWhole(
  { inFlight, unsent, head, turn, req, arrivedMs }: ReceivedCall,
  body: Buffer | null,
): Promise<void> {
  const { context, res, execution } = unsent;
  const { router } = context;
  const target = req.url ?? '/';
  if (!(await turn)) {
    context.responseWatch.note(res, 'notBegun');
    context.log.write('callerLeft', {
      request: head.id,
      code: 'notBegun',
      ...configurationFields(router.board),
    });
    return;
  }
  await awaitPendingClose();
  if (head.id === null) {
    refuse(unsent, 'requestIdMissing', null, { target });
    return;
  }
  if ((await context.lease.obtain()) === 'outdated') {
    refuse(unsent, 'viewOutdated', head.id);
    return;
  }
  const path = target.split('?', 1)[0] ?? target;
  const host = headerValue(req.rawHeaders, 'host') ?? '';
  const match = router.match(host, path, head.key);
  if (match.kind === 'refused') {
    refuse(unsent, match.code, head.id, { path });
    return;
  }
  const call: IncomingRequest = {
    method: req.method ?? 'GET',
    target,
    headers: req.rawHeaders,
    head,
    body,
  };
  const request = await bindResumption(
    context,
    toGatewayRequest(context, call, head.id, match, arrivedMs),
  );
  router.onRequest(request);
  const forwarded = new ForwardedRequest(
    context,
    request,
    call,
    execution,
    createCallerResponse(context, res),
  );
  const onClose = (): void => {
    if (!res.writableFinished) {
      forwarded.withdraw('callerLeft');
    }
  };
  res.once('close', onClose);
  // The caller may have left before or while its request was read.
  if (res.destroyed || req.socket.readableEnded) {
    onClose();
  }
  await inFlight.track(forwarded);
  inFlight.trackDelivery(res);
  context.streams.onEnded(request);
}
