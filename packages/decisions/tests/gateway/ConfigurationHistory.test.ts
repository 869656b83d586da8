import fc from 'fast-check';
import { describe } from '@jujubecroft/testing';
import type {
  OrganisationId,
  RouteId,
  RoutingConfiguration,
} from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import {
  ConfigurationHistory,
  applyChangeSequence,
} from '../../src/gateway/ConfigurationHistory.js';
import { configuration, manualClock, route } from './helpers/gatewayFixture.js';

const ids = fc.uniqueArray(fc.integer({ min: 0, max: 12 }), { maxLength: 9 });

/** Configurations that may share routes, organisations and limits. */
const configurations = fc
  .record({
    routes: ids,
    timeoutMs: fc.constantFrom(3000, 5000),
    organisations: fc.option(ids),
    keys: fc.constantFrom('k', 'l'),
    maxBodyBytes: fc.constantFrom(10, 20),
  })
  .map(({ routes, timeoutMs, organisations, keys, maxBodyBytes }) => {
    const cfg = configuration(
      routes.map(index =>
        route({ id: brand<RouteId>(`r-${index}`), timeoutMs }),
      ),
    );
    return {
      ...cfg,
      limits: { ...cfg.limits, maxBodyBytes },
      organisations:
        organisations?.map(index => ({
          id: brand<OrganisationId>(`o-${index}`),
          keys: [`${keys}-${index}`],
          priority: null,
        })) ?? null,
    };
  });

/** Sorts the lists of a configuration, since their order has no meaning. */
function sorted(cfg: RoutingConfiguration): unknown {
  const byId = (a: { id: string }, b: { id: string }): number =>
    a.id < b.id ? -1 : 1;
  return {
    ...cfg,
    routes: [...cfg.routes].sort(byId),
    services: [...cfg.services].sort(byId),
    organisations: cfg.organisations && [...cfg.organisations].sort(byId),
  };
}

describe('ConfigurationHistory', ({ it }) => {
  // Instances that received changes must match each request to the same route
  // as those that received the whole configuration.
  it('provides changes that lead from any kept version to the newest', t => {
    fc.assert(
      fc.property(
        fc.array(configurations, { minLength: 2, maxLength: 6 }),
        fc.nat(),
        (generated, pick) => {
          const versions = generated.map((cfg, index) => ({
            ...cfg,
            version: 3 * index + 1,
          }));
          const history = new ConfigurationHistory(manualClock().now);
          versions.reduce<RoutingConfiguration | null>(
            (before, after) => history.record(before, after),
            null,
          );
          const known = versions[pick % (versions.length - 1)];
          const newest = versions.at(-1);
          if (!known || !newest) {
            return;
          }
          const json = JSON.stringify(history.since(known.version));
          const result = applyChangeSequence(known, JSON.parse(json) as never);
          t.deepEqual(result && sorted(result), sorted(newest));
        },
      ),
      { seed: 11 },
    );
  });

  it('shares unchanged items between versions', t => {
    const kept = route();
    const before = configuration([kept, route({ id: brand<RouteId>('r-2') })]);
    const after = {
      ...configuration([{ ...kept }], 2),
    };
    const history = new ConfigurationHistory(manualClock().now);
    t.is(history.record(before, after).routes[0], kept);
    t.deepEqual(history.since(1)?.[0]?.routes, { put: [], removed: ['r-2'] });
  });

  it('provides no changes from an unknown version', t => {
    const history = new ConfigurationHistory(manualClock().now);
    history.record(configuration([]), configuration([], 4));
    t.is(history.since(2), null);
    t.is(
      applyChangeSequence(configuration([], 2), history.since(1) ?? []),
      null,
    );
  });

  it('provides the changes recorded within a period', t => {
    const clock = manualClock();
    const history = new ConfigurationHistory(clock.now);
    history.record(configuration([]), configuration([], 2));
    clock.advance(800);
    history.record(configuration([], 2), configuration([], 5));
    clock.advance(300);
    t.deepEqual(
      history.recentChanges(1000).map(({ version }) => version),
      [5],
    );
  });
});
