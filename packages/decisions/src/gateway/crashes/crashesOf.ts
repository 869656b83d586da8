import type { GatewayRequest } from '../BackendLoad.js';
import type { GatewayBoard } from '../GatewayBoard.js';
import { MAX_CRASHES, MIN_SUSPECT_CRASHES } from './CrashLedger.js';
import type { CrashedRun } from './crashNews.js';

/** Finds the runs of replicas whose ends count against the content of a request. */
function contentCrashesOf(
  { crashes }: GatewayBoard,
  request: GatewayRequest,
): readonly CrashedRun[] {
  return crashes.isEmpty ? [] : crashes.runsOf(request.fingerprint());
}

/**
 * Finds the runs of replicas that a request is suspected to have crashed, by its content
 * or by a part of its prompt.
 *
 * @param board - the blackboard
 * @param request - its fingerprint is computed only if a crash is known
 * @returns the runs; none if the request is not suspect
 */
export function suspectedCrashesOf(
  board: GatewayBoard,
  request: GatewayRequest,
): readonly CrashedRun[] {
  const { parts } = board.crashes;
  const byContent = contentCrashesOf(board, request);
  return [
    ...(byContent.length >= MIN_SUSPECT_CRASHES ? byContent : []),
    ...parts.suspectsOf(request).flatMap(part => parts.runsOf(part)),
  ];
}

/**
 * Whether a request is suspected to crash its replica.
 *
 * @param board - the blackboard
 * @param request - its fingerprint is computed only if a crash is known
 */
export function isSuspect(
  board: GatewayBoard,
  request: GatewayRequest,
): boolean {
  return suspectedCrashesOf(board, request).length > 0;
}

/** Whether the content of a request has crashed so many replicas that it is barred. */
function hasBarredContent(
  board: GatewayBoard,
  request: GatewayRequest,
): boolean {
  return contentCrashesOf(board, request).length >= MAX_CRASHES;
}

/**
 * Whether a request must not reach a replica, since its content or a part of its prompt
 * has crashed several replicas.
 *
 * @param board - the blackboard
 * @param request - its fingerprint is computed only if a crash is known
 */
export function isBarred(
  board: GatewayBoard,
  request: GatewayRequest,
): boolean {
  return (
    hasBarredContent(board, request) || board.crashes.parts.isBarred(request)
  );
}

/**
 * Time until a request may be sent that is barred.
 *
 * @param board - the blackboard
 * @param request - its fingerprint is computed only if a crash is known
 * @returns the time in milliseconds; null if the request may be placed now
 */
export function barredForMs(
  board: GatewayBoard,
  request: GatewayRequest,
): number | null {
  const { crashes } = board;
  if (hasBarredContent(board, request)) {
    return crashes.barredForMs(request.fingerprint());
  }
  return crashes.parts.mayPlace(request)
    ? null
    : crashes.parts.retryAfterMs(request);
}
