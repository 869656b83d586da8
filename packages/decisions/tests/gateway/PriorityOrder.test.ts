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
const placesOf = (
  order: PriorityOrder,
  caller: RoutedOrganisation | null,
): readonly number[] => routes.map(entry => order.positionOf(entry, caller));

describe('PriorityOrder', ({ it }) => {
  it('puts the route first and the organisation second', t => {
    const [first, second] = [organisation(0), organisation(4)];
    const order = new PriorityOrder({
      routes,
      organisations: [second, first],
    });
    t.is(order.count, 6);
    t.deepEqual(placesOf(order, first), [4, 0, 2]);
    t.deepEqual(placesOf(order, second), [5, 1, 3]);
  });

  it('is that of the routes for callers without a priority', t => {
    const caller = organisation(null);
    const order = new PriorityOrder({ routes, organisations: [caller] });
    t.deepEqual(placesOf(order, caller), [2, 0, 1]);
  });

  it('needs no organisations', t => {
    const order = new PriorityOrder({ routes, organisations: null });
    t.deepEqual(placesOf(order, null), [2, 0, 1]);
  });

  it('has a place behind all others for what it does not know', t => {
    const order = new PriorityOrder({ routes, organisations: null });
    t.is(order.positionOf(route({ priority: 9 }), null), 3);
  });
});
