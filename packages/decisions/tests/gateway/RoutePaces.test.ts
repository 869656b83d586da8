import type { RouteId } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';
import { describe } from '@jujubecroft/testing';

import { PRIOR_PACE_MS, RoutePaces } from '../../src/gateway/RoutePaces.js';
import { gatewayFixture, replica, route } from './helpers/gatewayFixture.js';

const LONG = brand<RouteId>('long');

describe('RoutePaces', ({ it }) => {
  it('learns a slow pace from few pauses', t => {
    // A caller waits fifteen seconds for a stream that gives an event in 400 ms.
    // Eight of them come in three seconds; the next caller must not be let in
    // as if events came every 30 ms.
    const paces = new RoutePaces();
    Array.from({ length: 8 }).forEach(() => {
      paces.onPause(LONG, 400);
    });
    t.true(paces.paceMs(LONG) > 150);
    t.is(paces.paceMs(brand<RouteId>('other')), PRIOR_PACE_MS);
  });

  it('stands in for a replica of which nothing fresh is known', t => {
    // One instance of sixty has had no stream on this replica for a while, and its
    // streams of the same route crawl on all others.
    const { board, clock } = gatewayFixture([route()], [replica('r-1')]);
    const [load] = [...board.backends.values()];
    if (!load) {
      t.fail('the replica has no load');
      return;
    }
    Array.from({ length: 100 }).forEach(() => {
      load.onPause(20);
    });
    t.true(load.paceMs(400) < 25);
    clock.advance(10_000);
    t.true(load.paceMs(400) > 395);
  });
});
