import type { GatewayRequest } from '@jujubecroft/decisions';
import type { RoutedService, ServiceId } from '@jujubecroft/types';

import type { GatewayContext } from '../GatewayContext.js';

/** Returns a service if the route of a request leads to it; undefined otherwise. */
function routedService(
  { router }: GatewayContext,
  { route }: GatewayRequest,
  id: ServiceId,
): RoutedService | undefined {
  return route.shares.some(({ service }) => service === id)
    ? router.board.table?.service(id)
    : undefined;
}

/** Position of a request in the priority order of a service. */
function priorityAt(
  { router }: GatewayContext,
  { route, organisation, priority }: GatewayRequest,
  service: ServiceId,
): number {
  const { table } = router.board;
  const caller =
    table?.cfg.organisations?.find(({ id }) => id === organisation) ?? null;
  return table?.priorities(service).positionOf(route, caller) ?? priority;
}

/**
 * Binds a request that continues a stream to the service and software version at which
 * the stream began. Where these are unknown, it is bound to no replica.
 *
 * @param context - shared parts of the instance
 * @param request - the request
 * @returns the request, for the service that began the stream
 */
export async function bindResumption(
  context: GatewayContext,
  request: GatewayRequest,
): Promise<GatewayRequest> {
  const { binding, resumption } = request;
  context.streams.onRequest(request);
  if (!binding || !resumption) {
    return request;
  }
  const result = await context.streams.find(request);
  const { found } = result;
  const service = found && routedService(context, request, found.service);
  binding.bind(service ? found.softwareVersion : null);
  if (!service) {
    return found
      ? request
      : {
          ...request,
          resumption: { ...resumption, searched: result.searched },
        };
  }
  const bound: GatewayRequest = {
    ...request,
    service,
    priority: priorityAt(context, request, service.id),
    resumption: {
      ...resumption,
      knownFrom: found.knownFrom,
      knownAgeMs: found.ageMs,
      provenAgeMs: found.provenAgeMs,
    },
  };
  context.streams.onBegun(bound);
  return bound;
}
