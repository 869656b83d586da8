import type { RoutedOrganisation, Route } from '@jujubecroft/types';

/** Routes and callers that can reach one service. */
export interface PriorityScope {
  readonly routes: readonly Route[];
  /** Null where callers need no key at all. */
  readonly organisations: readonly RoutedOrganisation[] | null;
}

/** Requests of one route that share a position in the priority order. */
export interface RouteClass {
  readonly route: Route;
  readonly position: number;
}

/**
 * Sort key: the route's priority, then the organisation's; 0 sorts first in
 * both.
 */
type PriorityKey = readonly [route: number, organisation: number];

function keyOf(
  route: Route,
  organisation: RoutedOrganisation | null,
): PriorityKey {
  return [route.priority, organisation?.priority ?? route.priority];
}

/**
 * Returns one organisation per distinct priority, which stands for all of that priority.
 *
 * @param organisations - the organisations
 */
export function organisationPerPriority(
  organisations: readonly RoutedOrganisation[],
): readonly RoutedOrganisation[] {
  return [
    ...new Map(organisations.map(entry => [entry.priority, entry])).values(),
  ];
}

/** Returns the callers of a route; null stands for those without an organisation. */
function callersOf(
  { isPublic }: Route,
  organisations: readonly RoutedOrganisation[],
): readonly (RoutedOrganisation | null)[] {
  return isPublic || organisations.length === 0 ? [null] : organisations;
}

/**
 * Total order of urgency among all requests that can reach one service.
 *
 * Requests are ordered by the priority of their route first, and by that of
 * their organisation among routes of equal priority. If organisations came
 * first, live answers would be preempted by long reports of a more important
 * organisation; if their priority replaced that of the route, all routes of an
 * organisation would be equally urgent.
 */
export class PriorityOrder {
  readonly #positions: ReadonlyMap<string, number>;
  /** For each position, the classes at more urgent positions. */
  readonly #before: readonly (readonly RouteClass[])[];

  /**
   * @param scope - routes of the service and the organisations that may call
   *   them
   */
  constructor({ routes, organisations }: PriorityScope) {
    const callers = organisationPerPriority(organisations ?? []);
    const all = routes.flatMap(route =>
      callersOf(route, callers).map(caller => ({
        route,
        key: keyOf(route, caller),
      })),
    );
    const keys = new Map(all.map(({ key }) => [key.join(), key]));
    const ordered = [...keys.values()].sort(
      (a, b) => a[0] - b[0] || a[1] - b[1],
    );
    this.#positions = new Map(
      ordered.map((key, position) => [key.join(), position]),
    );
    const classes = all.map(({ route, key }) => ({
      route,
      position: this.#positions.get(key.join()) ?? this.count,
    }));
    this.#before = Array.from({ length: ordered.length + 1 }, (_, position) =>
      classes.filter(entry => entry.position < position),
    );
  }

  /** Number of distinct priorities. */
  get count(): number {
    return this.#positions.size;
  }

  /**
   * Returns the classes that are more urgent than a position.
   *
   * @param position - position in the order, 0 first; the number of positions
   *   selects all classes
   */
  before(position: number): readonly RouteClass[] {
    return this.#before[position] ?? [];
  }

  /**
   * Returns the position of a request in the order.
   *
   * @param route - route of the request
   * @param organisation - organisation of the caller; null on public routes
   * @returns the position, 0 for the most urgent; for a request that is not in
   *   the order, a position after all others
   */
  positionOf(route: Route, organisation: RoutedOrganisation | null): number {
    return this.#positions.get(keyOf(route, organisation).join()) ?? this.count;
  }
}
