import type { GatewayRequest, Match } from '@jujubecroft/decisions';
import { StreamBinding } from '@jujubecroft/decisions';
import type { RequestId, Route } from '@jujubecroft/types';

import { fingerprintOf } from '../forward/fingerprintOf.js';
import type { IncomingRequest } from '../forward/IncomingRequest.js';
import { partKeysOf } from '../forward/partKeysOf.js';
import type { GatewayContext } from '../GatewayContext.js';
import type { RequestHead } from '../ports/CallerDialect.js';
import { once } from '../util/once.js';

type MatchedRoute = Extract<Match, { kind: 'matched' }>;

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

/**
 * Describes a request of a caller for the decisions about it.
 *
 * @param context - shared parts of the instance
 * @param call - the request as received
 * @param id - its id
 * @param match - its route, and what follows from it
 * @param arrivedMs - reading of the clock when its head was read
 * @returns the request
 */
export function toGatewayRequest(
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
