import type {
  CallerLimits,
  RoutedOrganisation,
  RoutedService,
  Route,
  RoutingConfiguration,
} from '@jujubecroft/types';

/**
 * Items of a list that were added or changed, and ids of those that were
 * removed.
 */
export interface ListChanges<Item> {
  readonly put: readonly Item[];
  readonly removed: readonly string[];
}

/** Difference between two versions of the configuration. */
export interface ConfigurationChanges {
  readonly from: number;
  readonly version: number;
  readonly routes: ListChanges<Route>;
  readonly services: ListChanges<RoutedService>;
  readonly limits: CallerLimits;
  /** Null if callers need no key in the later version. */
  readonly organisations: ListChanges<RoutedOrganisation> | null;
}

interface Identified {
  readonly id: string;
}

function isEqual(a: unknown, b: unknown): boolean {
  return a === b || JSON.stringify(a) === JSON.stringify(b);
}

function diffLists<Item extends Identified>(
  before: readonly Item[],
  after: readonly Item[],
): ListChanges<Item> {
  const known = new Map(before.map(item => [item.id, item]));
  const kept = new Set(after.map(({ id }) => id));
  return {
    put: after.filter(item => !isEqual(known.get(item.id), item)),
    removed: before.map(({ id }) => id).filter(id => !kept.has(id)),
  };
}

function applyListChanges<Item extends Identified>(
  before: readonly Item[],
  { put, removed }: ListChanges<Item>,
): readonly Item[] {
  const items = new Map(before.map(item => [item.id, item]));
  removed.forEach(id => items.delete(id));
  put.forEach(item => items.set(item.id, item));
  return [...items.values()];
}

/**
 * Computes the difference between two configurations.
 *
 * @param before - the earlier configuration
 * @param after - the later configuration
 * @returns the changes; their size depends on what changed, not on the size of
 *   the configurations
 */
export function diffConfigurations(
  before: RoutingConfiguration,
  after: RoutingConfiguration,
): ConfigurationChanges {
  return {
    from: before.version,
    version: after.version,
    routes: diffLists(before.routes, after.routes),
    services: diffLists(before.services, after.services),
    limits: after.limits,
    organisations:
      after.organisations &&
      diffLists(before.organisations ?? [], after.organisations),
  };
}

/**
 * Applies changes to a configuration.
 *
 * @param before - configuration that the changes start from
 * @param changes - result of `diffConfigurations`
 * @returns the later configuration, sharing unchanged items with the earlier
 *   one
 */
export function applyChanges(
  before: RoutingConfiguration,
  changes: ConfigurationChanges,
): RoutingConfiguration {
  const { version, limits, organisations } = changes;
  return {
    version,
    routes: applyListChanges(before.routes, changes.routes),
    services: applyListChanges(before.services, changes.services),
    limits,
    organisations:
      organisations &&
      applyListChanges(before.organisations ?? [], organisations),
  };
}
