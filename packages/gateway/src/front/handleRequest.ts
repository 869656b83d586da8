import type { IncomingMessage, ServerResponse } from 'node:http';
import type { GatewayRequest } from '@jujubecroft/decisions';
import type { ResultCodeId } from '@jujubecroft/types';

import { ExecutionRecord } from '../execution/ExecutionRecord.js';
import { createCallerResponse } from '../forward/createCallerResponse.js';
import type { IncomingRequest } from '../forward/IncomingRequest.js';
import { configurationFields } from '../forward/logFields.js';
import { ForwardedRequest } from '../forward/ForwardedRequest.js';
import type { GatewayContext } from '../GatewayContext.js';
import type { RequestHead } from '../ports/CallerDialect.js';
import { headerValue } from '../util/headers.js';
import { bindResumption } from '../streams/bindResumption.js';
import { nextTurn } from '../util/nextTurn.js';
import { answerError } from './answerError.js';
import type { BodyReadResult } from './readBody.js';
import { readBody } from './readBody.js';
import type { CallerTurns } from './CallerTurns.js';
import type { InFlightRequests } from './InFlightRequests.js';
import { ReceivedRequest } from './ReceivedRequest.js';
import type { UnsentCall } from './refuseRequest.js';
import { refuseRequest } from './refuseRequest.js';
import { toGatewayRequest } from './toGatewayRequest.js';

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

/** A request that is being read, and what is needed to send it. */
interface ReceivedCall {
  readonly context: GatewayContext;
  readonly received: ReceivedRequest;
  readonly head: RequestHead;
  readonly reading: Promise<BodyReadResult>;
  /** Whether the response to the previous request of the connection is complete. */
  readonly turn: Promise<boolean>;
  readonly req: IncomingMessage;
  readonly arrivedMs: number;
}

/** What becomes of a request before its first attempt. */
type Preparation =
  | {
      /** It may be placed. */
      readonly kind: 'placeable';
      readonly request: GatewayRequest;
      readonly call: IncomingRequest;
    }
  | {
      readonly kind: 'refused';
      readonly code: ResultCodeId;
      readonly fields?: Readonly<Record<string, unknown>>;
    }
  | {
      /** The caller left before its body was complete. */
      readonly kind: 'bodyBroken';
    }
  | {
      /** The connection ended before the request could begin. */
      readonly kind: 'notBegun';
    };

const BODY_REFUSALS = {
  tooLarge: 'bodyTooLarge',
  noMemory: 'memoryFull',
} as const;

/** Waits for all that a request needs before it can be placed. */
async function prepare({
  context,
  received,
  head,
  reading,
  turn,
  req,
  arrivedMs,
}: ReceivedCall): Promise<Preparation> {
  const { router } = context;
  const read = await reading;
  if (read.kind === 'broken') {
    return { kind: 'bodyBroken' };
  }
  if (read.kind !== 'whole') {
    return { kind: 'refused', code: BODY_REFUSALS[read.kind] };
  }
  const target = req.url ?? '/';
  if (!(await turn)) {
    return { kind: 'notBegun' };
  }
  await awaitPendingClose();
  if (head.id === null) {
    return { kind: 'refused', code: 'requestIdMissing', fields: { target } };
  }
  if ((await context.lease.obtain()) === 'outdated') {
    return { kind: 'refused', code: 'viewOutdated' };
  }
  const path = target.split('?', 1)[0] ?? target;
  const host = headerValue(req.rawHeaders, 'host') ?? '';
  const match = router.match(host, path, head.key);
  if (match.kind === 'refused') {
    return { kind: 'refused', code: match.code, fields: { path } };
  }
  const call: IncomingRequest = {
    method: req.method ?? 'GET',
    target,
    headers: req.rawHeaders,
    head,
    body: read.body?.bytes ?? null,
  };
  const unbound = toGatewayRequest(context, call, head.id, match, arrivedMs);
  received.limitTo(unbound.deadlineMs);
  const request = await bindResumption(context, unbound);
  if (received.hasEnded) {
    context.streams.onEnded(request);
  }
  return { kind: 'placeable', request, call };
}

/**
 * Whether the caller of a request has closed its connection.
 *
 * A caller that only ends its side, and would still read, can't be told from one that closes
 * the connection: the end is all that arrives until something is written. Callers that give
 * up do the latter, so no replica runs a request after the end.
 */
function hasLeft(res: ServerResponse): boolean {
  return res.destroyed || res.req.socket.readableEnded;
}

/** Sends a request to replicas until its caller has a response or has left. */
async function forward(
  { context, res, execution }: UnsentCall,
  inFlight: InFlightRequests,
  request: GatewayRequest,
  call: IncomingRequest,
): Promise<void> {
  context.router.onRequest(request);
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
  if (hasLeft(res)) {
    onClose();
  }
  try {
    await inFlight.run(forwarded);
  } finally {
    context.streams.onEnded(request);
  }
}

/** Acts on what came of the preparation of a request. */
async function proceed(
  unsent: UnsentCall,
  inFlight: InFlightRequests,
  head: RequestHead,
  prepared: Preparation,
): Promise<void> {
  const { context, res } = unsent;
  switch (prepared.kind) {
    case 'bodyBroken':
      context.responseWatch.note(res, prepared.kind);
      context.log.write('callerLeft', {
        request: head.id,
        code: prepared.kind,
        ...configurationFields(context.router.board),
      });
      break;
    case 'notBegun':
      context.responseWatch.note(res, prepared.kind);
      context.log.write('requestNotBegun', { request: head.id });
      break;
    case 'refused':
      if (!res.req.complete) {
        // The unread rest of the body would be parsed as the next request.
        res.shouldKeepAlive = false;
      }
      refuseRequest(unsent, prepared.code, head.id, prepared.fields);
      break;
    case 'placeable':
      await forward(unsent, inFlight, prepared.request, prepared.call);
      break;
  }
}

/**
 * Reads the head of a request and begins to read its body.
 *
 * @returns the request; null if it has been refused
 */
function begin(
  { context, res, execution }: UnsentCall,
  inFlight: InFlightRequests,
  turns: CallerTurns,
  req: IncomingMessage,
): ReceivedCall | null {
  const arrivedMs = context.clock();
  const turn = turns.take(req, res);
  const limits = context.router.board.table?.cfg.limits;
  const head = context.dialect.readRequest(req.rawHeaders);
  if (headBytes(req) > (limits?.maxHeaderBytes ?? DEFAULT_MAX_HEAD_BYTES)) {
    refuseRequest({ context, res, execution }, 'headTooLarge', head.id);
    inFlight.trackDelivery(res);
    return null;
  }
  const received = new ReceivedRequest(
    arrivedMs + (head.timeLeftMs ?? Infinity),
  );
  inFlight.enter(received);
  const reading = readBody(
    req,
    limits?.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES,
    context.requestBudget,
    received.ended,
    context.uploads,
  );
  return { context, received, head, reading, turn, req, arrivedMs };
}

/** Prepares and forwards a request until its response is complete. */
async function complete(
  unsent: UnsentCall,
  inFlight: InFlightRequests,
  call: ReceivedCall,
): Promise<void> {
  const { received, head, reading } = call;
  try {
    const prepared = await received.wait(prepare(call));
    await proceed(unsent, inFlight, head, prepared);
  } catch (err) {
    answerError(unsent, head.id, err);
  } finally {
    inFlight.leave(received, unsent.res);
    void reading.then(read => {
      if (read.kind === 'whole') {
        read.body?.release();
      }
    });
  }
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
  const unsent: UnsentCall = { context, res, execution: new ExecutionRecord() };
  let call: ReceivedCall | null = null;
  try {
    call = begin(unsent, inFlight, turns, req);
  } catch (err) {
    answerError(unsent, null, err);
    inFlight.trackDelivery(res);
  }
  if (call) {
    await complete(unsent, inFlight, call);
  }
}
