import type {
  RoutedOrganisation,
  RoutedService,
  Route,
  RoutingConfiguration,
  ServiceId,
} from '@jujubecroft/types';

import { PriorityOrder } from './PriorityOrder.js';

/** The order of a service that no route leads to. */
const NO_PRIORITIES = new PriorityOrder({ routes: [], organisations: null });

/** Cuts a port off a host and lowers its case, since hosts compare that way. */
function canonicalHost(host: string): string {
  return host.replace(/:\d+$/, '').toLowerCase();
}

/** The longest leading part of a path that ends with a slash. */
function longestPrefix(path: string): string {
  return path.slice(0, path.lastIndexOf('/') + 1);
}

/** The next shorter prefix; empty when there is none. */
function shorterPrefix(prefix: string): string {
  return longestPrefix(prefix.slice(0, -1));
}

/**
 * Look-ups over one routing configuration.
 *
 * Prefixes end with a slash, so a path has at most as many candidates as it has
 * slashes; the cost of a look-up doesn't grow with the number of routes.
 */
export class RoutingTable {
  readonly #routes = new Map<string, Map<string, Route>>();
  readonly #organisations = new Map<string, RoutedOrganisation>();
  readonly #services = new Map<ServiceId, RoutedService>();
  readonly #priorities = new Map<ServiceId, PriorityOrder>();

  /** @param cfg - the configuration to look things up in */
  constructor(readonly cfg: RoutingConfiguration) {
    cfg.routes.forEach(route => {
      this.#addRoute(route);
    });
    cfg.services.forEach(service => {
      this.#services.set(service.id, service);
      this.#priorities.set(service.id, this.#priorityOrder(service.id));
    });
    cfg.organisations?.forEach(organisation => {
      organisation.keys.forEach(key => {
        this.#organisations.set(key, organisation);
      });
    });
  }

  /** Whether callers of routes that are not public need a key. */
  get needsKeys(): boolean {
    return this.cfg.organisations !== null;
  }

  /**
   * Finds the route of a request.
   *
   * @param host - as the caller wrote it, with or without a port
   * @param path - without query
   * @returns the route with the longest matching prefix
   */
  find(host: string, path: string): Route | undefined {
    const byPrefix = this.#routes.get(canonicalHost(host));
    let prefix = byPrefix ? longestPrefix(path) : '';
    while (prefix !== '') {
      const route = byPrefix?.get(prefix);
      if (route) {
        return route;
      }
      prefix = shorterPrefix(prefix);
    }
    return undefined;
  }

  /** @returns the organisation that holds a key, if any does */
  organisationOf(key: string): RoutedOrganisation | undefined {
    return this.#organisations.get(key);
  }

  /** @returns the service, if it is declared */
  service(id: ServiceId): RoutedService | undefined {
    return this.#services.get(id);
  }

  /** @returns the order of urgency among a service's requests */
  priorities(id: ServiceId): PriorityOrder {
    return this.#priorities.get(id) ?? NO_PRIORITIES;
  }

  #priorityOrder(id: ServiceId): PriorityOrder {
    const { routes, organisations } = this.cfg;
    return new PriorityOrder({
      routes: routes.filter(({ shares }) =>
        shares.some(({ service }) => service === id),
      ),
      organisations,
    });
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
