import type { GatewayRequest, PlacementDecision } from '@jujubecroft/decisions';
import type { BackendServerId } from '@jujubecroft/types';

import type { GatewayContext } from '../GatewayContext.js';

/**
 * Retry delay sent while the view of this instance is outdated; short, since
 * callers can reach another instance at once.
 */
export const STALE_VIEW_RETRY_MS = 50;

/**
 * Places a request according to this instance's view of the replicas, if the
 * view is current enough.
 *
 * @param context - shared parts of the instance
 * @param request - the request
 * @param tried - replicas that it was placed at before
 * @returns the replica, or the reason for a refusal
 */
export async function placeWhenViewUsable(
  { router, lease }: GatewayContext,
  request: GatewayRequest,
  tried: ReadonlySet<BackendServerId>,
): Promise<PlacementDecision> {
  return (await lease.obtain()) === 'usable'
    ? router.place(request, tried)
    : {
        kind: 'refuse',
        code: 'viewOutdated',
        retryAfterMs: STALE_VIEW_RETRY_MS,
        verdict: null,
        best: null,
        candidates: 0,
      };
}
