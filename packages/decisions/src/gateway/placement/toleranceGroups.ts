import type { Route, RouteId, ServiceId } from '@jujubecroft/types';

import type { RoutingTable } from '../RoutingTable.js';

/** Routes of one service that tolerate about the same delay. */
export interface ToleranceGroup {
  /**
   * Longest delay that all of their requests tolerate at any moment, in
   * milliseconds.
   */
  readonly toleranceMs: number;
  readonly routes: readonly RouteId[];
}

/** Routes whose tolerances differ by less than this factor form one group. */
const SAME_GROUP_FACTOR = 1.3;

/**
 * Longest pause that a request of a route tolerates without being late, in
 * milliseconds.
 */
function toleranceOf({ latencyTargetMs, gapTargetMs }: Route): number {
  return gapTargetMs > 0
    ? Math.min(gapTargetMs, latencyTargetMs)
    : latencyTargetMs;
}

function groupRoutes(routes: readonly Route[]): readonly ToleranceGroup[] {
  const ordered = [...routes].sort((a, b) => toleranceOf(a) - toleranceOf(b));
  return ordered.reduce<readonly ToleranceGroup[]>((groups, route) => {
    const last = groups.at(-1);
    const toleranceMs = toleranceOf(route);
    if (last && toleranceMs < last.toleranceMs * SAME_GROUP_FACTOR) {
      const joined = { ...last, routes: [...last.routes, route.id] };
      return [...groups.slice(0, -1), joined];
    }
    return [...groups, { toleranceMs, routes: [route.id] }];
  }, []);
}

const groupsByTable = new WeakMap<
  RoutingTable,
  Map<ServiceId, readonly ToleranceGroup[]>
>();

/**
 * Groups the routes of a service by the delay that they tolerate.
 *
 * The groups are computed once for each configuration.
 *
 * @param table - the configuration in force
 * @param service - a service of language models
 * @returns the groups, the most delicate first
 */
export function toleranceGroups(
  table: RoutingTable,
  service: ServiceId,
): readonly ToleranceGroup[] {
  const byService =
    groupsByTable.get(table) ?? new Map<ServiceId, readonly ToleranceGroup[]>();
  groupsByTable.set(table, byService);
  const cached = byService.get(service);
  if (cached) {
    return cached;
  }
  const routes = table.cfg.routes.filter(
    route =>
      route.kind === 'streaming' &&
      route.shares.some(share => share.service === service),
  );
  const groups = groupRoutes(routes);
  byService.set(service, groups);
  return groups;
}
