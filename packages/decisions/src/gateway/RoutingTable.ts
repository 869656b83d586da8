import type {
  RoutedOrganisation,
  RoutedService,
  Route,
  RoutingConfiguration,
  ServiceId,
} from '@jujubecroft/types';

import { organisationPerPriority, PriorityOrder } from './PriorityOrder.js';

/** Priority order of a service that no route leads to. */
const EMPTY_ORDER = new PriorityOrder({ routes: [], organisations: null });

/**
 * Normalises a host for comparison: removes the port and converts to lower
 * case.
 */
function canonicalHost(host: string): string {
  return host.replace(/:\d+$/, '').toLowerCase();
}

/** Returns the path up to and including its last slash. */
function directoryOf(path: string): string {
  return path.slice(0, path.lastIndexOf('/') + 1);
}

/** Returns the next shorter prefix; empty if there is none. */
function parentPrefix(prefix: string): string {
  return directoryOf(prefix.slice(0, -1));
}

/** Groups the routes by the services that they lead to. */
function routesByService({
  routes,
}: RoutingConfiguration): ReadonlyMap<ServiceId, readonly Route[]> {
  const groups = new Map<ServiceId, Route[]>();
  routes.forEach(route => {
    new Set(route.shares.map(({ service }) => service)).forEach(service => {
      const group = groups.get(service) ?? [];
      group.push(route);
      groups.set(service, group);
    });
  });
  return groups;
}

/**
 * Index of one routing configuration for look-ups.
 *
 * Prefixes end with a slash, so a path has at most as many candidates as it has
 * slashes; the cost of a look-up does not grow with the number of routes.
 */
export class RoutingTable {
  readonly #routes = new Map<string, Map<string, Route>>();
  readonly #organisations = new Map<string, RoutedOrganisation>();
  readonly #services = new Map<ServiceId, RoutedService>();
  readonly #priorities = new Map<ServiceId, PriorityOrder>();

  /** @param cfg - the configuration to index */
  constructor(readonly cfg: RoutingConfiguration) {
    cfg.routes.forEach(route => {
      this.#addRoute(route);
    });
    const routesOf = routesByService(cfg);
    // Priorities only, since the work for all organisations would stall the instance.
    const organisations =
      cfg.organisations && organisationPerPriority(cfg.organisations);
    cfg.services.forEach(service => {
      const routes = routesOf.get(service.id) ?? [];
      const order = new PriorityOrder({ routes, organisations });
      this.#services.set(service.id, service);
      this.#priorities.set(service.id, order);
    });
    cfg.organisations?.forEach(organisation => {
      organisation.keys.forEach(key => {
        this.#organisations.set(key, organisation);
      });
    });
  }

  /** Whether callers of non-public routes need a key. */
  get needsKeys(): boolean {
    return this.cfg.organisations !== null;
  }

  /**
   * Finds the route of a request.
   *
   * @param host - host as the caller wrote it, with or without a port
   * @param path - path without the query
   * @returns the route with the longest matching prefix; undefined if none
   *   matches
   */
  find(host: string, path: string): Route | undefined {
    const byPrefix = this.#routes.get(canonicalHost(host));
    let prefix = byPrefix ? directoryOf(path) : '';
    while (prefix !== '') {
      const route = byPrefix?.get(prefix);
      if (route) {
        return route;
      }
      prefix = parentPrefix(prefix);
    }
    return undefined;
  }

  /** Returns the organisation that a key belongs to, if any. */
  organisationOf(key: string): RoutedOrganisation | undefined {
    return this.#organisations.get(key);
  }

  /** Returns the service with this id, if it is declared. */
  service(id: ServiceId): RoutedService | undefined {
    return this.#services.get(id);
  }

  /** Returns the priority order of a service's requests. */
  priorities(id: ServiceId): PriorityOrder {
    return this.#priorities.get(id) ?? EMPTY_ORDER;
  }

  #addRoute(route: Route): void {
    const host = canonicalHost(route.host);
    const known = this.#routes.get(host);
    if (known) {
      known.set(route.prefix, route);
      return;
    }
    this.#routes.set(host, new Map([[route.prefix, route]]));
  }
}
