import type { GatewayRequest, PlacementDecision } from '@jujubecroft/decisions';
import type { BackendServerId } from '@jujubecroft/types';

import type { GatewayContext } from '../GatewayContext.js';
import type { ViewLeaseState } from '../state/ViewLease.js';

/**
 * Retry delay sent while the view of this instance is outdated; short, since
 * callers can reach another instance at once.
 */
export const STALE_VIEW_RETRY_MS = 50;

/**
 * Places a request according to this instance's view of the replicas, if the
 * view is current enough.
 *
 * The caller begins the attempt in the same turn. Many requests may have waited for one
 * renewal of the view, and without the attempts of the others on the blackboard, all of
 * them would get the same place.
 *
 * @param context - shared parts of the instance
 * @param view - state of the view, obtained just before
 * @param request - the request
 * @param tried - replicas that it was placed at before
 * @returns the replica, or the reason for a refusal
 */
export function placeWhenViewUsable(
  { router }: Pick<GatewayContext, 'router'>,
  view: ViewLeaseState,
  request: GatewayRequest,
  tried: ReadonlySet<BackendServerId>,
): PlacementDecision {
  return view === 'usable'
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
