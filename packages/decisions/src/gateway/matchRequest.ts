import type {
  ResultCodeId,
  Route,
  RoutedOrganisation,
  RoutedService,
} from '@jujubecroft/types';

import type { GatewayBoard } from './GatewayBoard.js';
import type { RoutingTable } from './RoutingTable.js';

/** The route, service and organisation of a request, or why it is rejected. */
export type Match =
  | {
      readonly kind: 'matched';
      readonly route: Route;
      readonly service: RoutedService;
      readonly organisation: RoutedOrganisation | null;
      /** Position in the service's priority order; 0 is the most urgent. */
      readonly priority: number;
    }
  | { readonly kind: 'refused'; readonly code: ResultCodeId };

/**
 * Draws one of the services that the route's traffic is split among, by weight.
 */
function chooseService(
  { shares }: Route,
  table: RoutingTable,
  random: () => number,
): RoutedService | undefined {
  const total = shares.reduce((sum, { weight }) => sum + weight, 0);
  let drawn = random() * total;
  const share = shares.find(({ weight }) => {
    drawn -= weight;
    return drawn < 0;
  });
  const chosen = share ?? shares.at(-1);
  return chosen && table.service(chosen.service);
}

/**
 * Resolves the route, service and organisation of a request.
 *
 * @param board - blackboard with the configuration in force, if any
 * @param host - host named by the caller
 * @param path - path without the query
 * @param key - API key of the caller; null if there is none
 * @returns the match, or the code of the rejection
 */
export function matchRequest(
  { table, random }: GatewayBoard,
  host: string,
  path: string,
  key: string | null,
): Match {
  if (!table) {
    return { kind: 'refused', code: 'noRoutingKnown' };
  }
  const route = table.find(host, path);
  if (!route) {
    return { kind: 'refused', code: 'unknownRoute' };
  }
  const organisation = key === null ? undefined : table.organisationOf(key);
  if (table.needsKeys && !route.isPublic && !organisation) {
    return { kind: 'refused', code: 'unknownKey' };
  }
  const service = chooseService(route, table, random);
  if (!service) {
    return { kind: 'refused', code: 'noBackendServer' };
  }
  const caller = route.isPublic ? null : (organisation ?? null);
  const priority = table.priorities(service.id).positionOf(route, caller);
  return { kind: 'matched', route, service, organisation: caller, priority };
}
