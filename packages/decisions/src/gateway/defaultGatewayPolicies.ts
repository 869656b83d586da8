import { admitAny } from './admission/admit-any.js';
import { firstEventTarget } from './admission/first-event-target.js';
import type { GatewayBoard } from './GatewayBoard.js';
import type { GatewayPolicies } from './placeRequest.js';
import { leastBusy } from './placement/least-busy.js';
import { toleranceSplit } from './placement/tolerance-split.js';

/**
 * Creates the policies that are used by default.
 *
 * @param board - blackboard of the gateway
 * @returns one policy of each kind
 */
export function defaultGatewayPolicies(board: GatewayBoard): GatewayPolicies {
  return {
    placePrompt: toleranceSplit.create(board),
    placeCall: leastBusy.create(board),
    admitPrompt: firstEventTarget.create(board),
    admitCall: admitAny.create(board),
  };
}
