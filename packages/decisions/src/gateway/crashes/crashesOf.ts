import type { GatewayRequest } from '../BackendLoad.js';
import type { GatewayBoard } from '../GatewayBoard.js';
import { MAX_CRASHES } from './CrashLedger.js';
import type { CrashedRun } from './crashNews.js';

/**
 * Finds the runs of replicas whose ends count against a request.
 *
 * @param board - the blackboard
 * @param request - its fingerprint is computed only if a crash is known
 * @returns the runs
 */
export function crashesOf(
  { crashes }: GatewayBoard,
  request: GatewayRequest,
): readonly CrashedRun[] {
  return crashes.isEmpty ? [] : crashes.runsOf(request.fingerprint());
}

/**
 * Whether a request has crashed so many replicas that it is no longer sent.
 *
 * @param board - the blackboard
 * @param request - its fingerprint is computed only if a crash is known
 */
export function isBarred(
  board: GatewayBoard,
  request: GatewayRequest,
): boolean {
  return crashesOf(board, request).length >= MAX_CRASHES;
}
