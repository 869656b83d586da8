import type { GatewayRequest } from '../BackendLoad.js';
import type { GatewayBoard } from '../GatewayBoard.js';
import { MAX_CRASHES } from './CrashLedger.js';
import type { CrashedRun } from './crashNews.js';

/**
 * Runs of replicas whose ends are held against a request.
 *
 * @param board - the blackboard
 * @param request - its fingerprint is worked out only while any crash is known
 */
export function crashesOf(
  { crashes }: GatewayBoard,
  request: GatewayRequest,
): readonly CrashedRun[] {
  return crashes.isEmpty ? [] : crashes.runsOf(request.fingerprint());
}

/** @returns whether a request crashed so many replicas that it is no longer sent */
export function isBarred(
  board: GatewayBoard,
  request: GatewayRequest,
): boolean {
  return crashesOf(board, request).length >= MAX_CRASHES;
}
