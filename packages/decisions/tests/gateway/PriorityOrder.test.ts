import { describe } from '@jujubecroft/testing';
import type { OrganisationId, RoutedOrganisation } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import { PriorityOrder } from '../../src/gateway/PriorityOrder.js';
import { route } from './helpers/gatewayFixture.js';

const organisation = (priority: number | null): RoutedOrganisation => ({
  id: brand<OrganisationId>(`o-${priority}`),
  keys: [],
  priority,
});
const routes = [2, 0, 1].map(priority => route({ priority }));
const positionsOf = (
  order: PriorityOrder,
  caller: RoutedOrganisation | null,
): readonly number[] => routes.map(entry => order.positionOf(entry, caller));

describe('PriorityOrder', ({ it }) => {
  it('orders by route first and by organisation second', t => {
    const [first, second] = [organisation(0), organisation(4)];
    const order = new PriorityOrder({
      routes,
      organisations: [second, first],
    });
    t.is(order.count, 6);
    t.deepEqual(positionsOf(order, first), [4, 0, 2]);
    t.deepEqual(positionsOf(order, second), [5, 1, 3]);
  });

  it('orders callers without a priority by route', t => {
    const caller = organisation(null);
    const order = new PriorityOrder({ routes, organisations: [caller] });
    t.deepEqual(positionsOf(order, caller), [2, 0, 1]);
  });

  it('orders routes without any organisations', t => {
    const order = new PriorityOrder({ routes, organisations: null });
    t.deepEqual(positionsOf(order, null), [2, 0, 1]);
  });

  it('puts unknown routes after all others', t => {
    const order = new PriorityOrder({ routes, organisations: null });
    t.is(order.positionOf(route({ priority: 9 }), null), 3);
  });
});
