import { describe } from '@jujubecroft/testing';
import type { RouteId } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import { splitReplicas } from '../../../src/gateway/placement/splitReplicas.js';
import { toleranceGroups } from '../../../src/gateway/placement/toleranceGroups.js';
import { RoutingTable } from '../../../src/index.js';
import { configuration, route, SERVICE } from '../helpers/gatewayFixture.js';

const need = (replicas: number, minReplicas = 1) => ({ replicas, minReplicas });

describe('splitReplicas', ({ it }) => {
  it('gives each group what it needs and the last one the rest', t => {
    t.deepEqual(splitReplicas([need(2), need(1), need(9)], 8, 0.25), [2, 1, 5]);
  });

  it('keeps the minimum of the last group and scales the others down', t => {
    t.deepEqual(splitReplicas([need(8), need(4), need(1)], 8, 0.25), [4, 2, 2]);
  });

  it('splits exactly the given number of replicas, whatever the needs', t => {
    [1, 2, 3, 5, 8, 42].forEach(count => {
      [0, 0.4, 3, 50].forEach(wanted => {
        const sizes = splitReplicas(
          [need(wanted), need(wanted / 2), need(1)],
          count,
          0.25,
        );
        t.is(
          sizes.reduce((sum, size) => sum + size, 0),
          count,
        );
        t.true(sizes.every(size => size >= 0));
      });
    });
  });
});

describe('toleranceGroups', ({ it }) => {
  it('orders routes by the delay that they tolerate and joins similar ones', t => {
    const routes = [
      ['long', 2000, 1000],
      ['live', 300, 250],
      ['short', 500, 400],
      ['short-too', 500, 450],
    ] as const;
    const table = new RoutingTable(
      configuration(
        routes.map(([name, latencyTargetMs, gapTargetMs]) =>
          route({
            id: brand<RouteId>(name),
            prefix: `/${name}/`,
            latencyTargetMs,
            gapTargetMs,
          }),
        ),
      ),
    );
    t.deepEqual(
      toleranceGroups(table, SERVICE).map(
        group => group.routes as readonly string[],
      ),
      [['live'], ['short', 'short-too'], ['long']],
    );
  });
});
