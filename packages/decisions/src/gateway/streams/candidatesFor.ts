import type { Replica } from '@jujubecroft/types';

import type { BackendLoad, GatewayRequest } from '../BackendLoad.js';
import type { GatewayBoard } from '../GatewayBoard.js';
import { candidatesOf } from '../GatewayBoard.js';

/**
 * Whether a replica can write what the caller of a request still lacks.
 *
 * @param request - the request
 * @param replica - a replica of its service
 * @returns false for a stream that began at another version, or at an unknown one
 */
export function canContinueAt(
  { binding }: Pick<GatewayRequest, 'binding'>,
  replica: Pick<Replica, 'softwareVersion'>,
): boolean {
  return binding === null || binding.allows(replica);
}

/**
 * Returns the loads of the registered replicas that a request may be sent to: those of
 * its service that are not leaving, and for a stream that goes on, of its version.
 *
 * @param board - the blackboard
 * @param request - the request
 */
export function candidatesFor(
  board: GatewayBoard,
  request: GatewayRequest,
): readonly BackendLoad[] {
  const all = candidatesOf(board, request.service.id);
  return request.binding?.isBound === true
    ? all.filter(({ replica }) => canContinueAt(request, replica))
    : all;
}
