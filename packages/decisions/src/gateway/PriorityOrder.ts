import type { RoutedOrganisation, Route } from '@jujubecroft/types';

/** What may come to one service. */
export interface PriorityScope {
  readonly routes: readonly Route[];
  /** Null where callers need no key at all. */
  readonly organisations: readonly RoutedOrganisation[] | null;
}

/** The organisation's priority, then the route's; 0 goes first in each. */
type PriorityKey = readonly [organisation: number, route: number];

function keyOf(
  route: Route,
  organisation: RoutedOrganisation | null,
): PriorityKey {
  return [organisation?.priority ?? route.priority, route.priority];
}

function keysOf({ routes, organisations }: PriorityScope): PriorityKey[] {
  const callers = organisations ?? [];
  return routes.flatMap(route =>
    route.isPublic || callers.length === 0
      ? [keyOf(route, null)]
      : callers.map(organisation => keyOf(route, organisation)),
  );
}

/**
 * The order of urgency among all requests that may come to one service.
 *
 * An organisation's priority goes before the route's and does not replace it.
 * Guards against routes that look equally urgent: where organisations all have
 * the same priority, replicas would serve in the order of arrival, and short
 * urgent requests would get nothing behind long ones that are not.
 */
export class PriorityOrder {
  readonly #places: ReadonlyMap<string, number>;

  /** @param scope - routes of the service and who may call them */
  constructor(scope: PriorityScope) {
    const keys = new Map(keysOf(scope).map(key => [key.join(), key]));
    const ordered = [...keys.values()].sort(
      (a, b) => a[0] - b[0] || a[1] - b[1],
    );
    this.#places = new Map(ordered.map((key, place) => [key.join(), place]));
  }

  /** How many different priorities there are. */
  get count(): number {
    return this.#places.size;
  }

  /**
   * Finds the place of a request in the order.
   *
   * @param route - of the request
   * @param organisation - of its caller; null on public routes
   * @returns the place, 0 for the most urgent
   */
  placeOf(route: Route, organisation: RoutedOrganisation | null): number {
    return this.#places.get(keyOf(route, organisation).join()) ?? this.count;
  }
}
