import { describe } from '@jujubecroft/testing';
import type {
  FailureDomainId,
  ReplicaScaling,
  ServiceId,
} from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import type {
  OrderInputs,
  ReplicaCensus,
  ReplicaOrder,
} from '../../../src/index.js';
import {
  CapacityEstimator,
  planReplicas,
  ReplicaOrders,
  stepTowards,
} from '../../../src/index.js';
import { manualClock } from '../../gateway/helpers/gatewayFixture.js';

const SERVICE = brand<ServiceId>('chat');
const [A, B, C] = ['a', 'b', 'c'].map(name => brand<FailureDomainId>(name)) as [
  FailureDomainId,
  FailureDomainId,
  FailureDomainId,
];
const SCALING: ReplicaScaling = {
  minReplicas: 1,
  maxReplicas: 40,
  bootMs: 4000,
  spotPrice: 0.2,
  domainPrices: { [A]: 1, [B]: 0.8, [C]: 1.25 },
};

function census(lasting: number, spot: number): ReplicaCensus {
  return new Map([A, B, C].map(domain => [domain, { lasting, spot }]));
}

function total(orders: readonly ReplicaOrder[], spot: boolean): number {
  return orders
    .filter(order => order.spot === spot)
    .reduce((sum, { count }) => sum + count, 0);
}

function facts(overrides: Partial<OrderInputs> = {}): OrderInputs {
  return {
    service: SERVICE,
    scaling: SCALING,
    census: census(20, 0),
    need: 60,
    isIdle: true,
    ...overrides,
  };
}

describe('planReplicas', ({ it }) => {
  const planOf = (
    need: number,
    scaling = SCALING,
  ): ReturnType<typeof planReplicas> =>
    planReplicas({
      scaling,
      need,
      census: census(0, 0),
      isSpotUnavailable: () => false,
    });

  // Guards against a burst that arrives when a third of the replicas has been reclaimed.
  it('covers the need if all spot replicas of a failure domain are reclaimed', t => {
    const plan = [...planOf(60).values()];
    const all = plan.reduce(
      (sum, { lasting, spot }) => sum + lasting + spot,
      0,
    );
    plan.forEach(({ spot }) => {
      t.true(all - spot >= 60);
    });
  });

  it('stays within the bounds of each failure domain', t => {
    planOf(500).forEach(({ lasting, spot }) => {
      t.true(lasting + spot <= SCALING.maxReplicas);
    });
    planOf(0).forEach(({ lasting, spot }) => {
      t.true(lasting + spot >= SCALING.minReplicas);
    });
  });

  it('plans more replicas in cheaper failure domains', t => {
    const plan = planOf(30);
    t.true((plan.get(B)?.spot ?? 0) > (plan.get(C)?.spot ?? 0));
  });

  it('plans on-demand replicas only if there is no spot price', t => {
    const plan = [...planOf(60, { ...SCALING, spotPrice: null }).values()];
    t.deepEqual(
      plan.map(({ spot }) => spot),
      [0, 0, 0],
    );
    t.is(
      plan.reduce((sum, { lasting }) => sum + lasting, 0),
      60,
    );
  });
});

describe('planReplicas where spot replicas are unavailable', ({ it }) => {
  const planWhere = (
    isSpotUnavailable: (domain: FailureDomainId) => boolean,
    active: ReplicaCensus,
  ): number =>
    [
      ...planReplicas({
        scaling: SCALING,
        need: 60,
        census: active,
        isSpotUnavailable,
      }).values(),
    ].reduce((sum, { lasting }) => sum + lasting, 0);

  // Guards against a burst that is refused for ten seconds although on-demand replicas are
  // available.
  it('plans on-demand replicas instead, as many as are needed', t => {
    const reclaimed = new Map(census(4, 0)).set(C, { lasting: 4, spot: 30 });
    t.is(
      planWhere(() => true, reclaimed),
      30,
    );
  });

  it('plans no additional on-demand replicas if the rest is sufficient', t => {
    const reclaimed = new Map(census(4, 30)).set(B, { lasting: 4, spot: 0 });
    t.is(
      planWhere(domain => domain === B, reclaimed),
      12,
    );
  });
});

describe('stepTowards', ({ it }) => {
  // Guards against capacity that is released before its replacement is active.
  it('releases no replicas that are still needed', t => {
    const before = { ...facts(), isSpotUnavailable: () => false };
    const step = stepTowards(before, planReplicas(before));
    t.deepEqual(
      [...step.values()].map(({ lasting }) => lasting),
      [20, 20, 20],
    );
    const after = { ...before, census: census(20, 20) };
    const next = [...stepTowards(after, planReplicas(after)).values()];
    t.true(next.every(({ lasting }) => lasting < 20));
  });
});

describe('ReplicaOrders', ({ it }) => {
  it('orders spot replicas first and releases on-demand ones once these are active', t => {
    const clock = manualClock();
    const orders = new ReplicaOrders(clock.now);
    const due = orders.due(facts());
    t.true(total(due, true) > 50);
    t.is(total(due, false), 0);
    due.forEach(order => {
      orders.onAccepted(order);
    });
    clock.advance(4100);
    const next = orders.due(facts({ census: census(20, 24) }));
    t.true(total(next, false) < 20);
  });

  it('does not repeat accepted orders', t => {
    const orders = new ReplicaOrders(manualClock().now);
    orders.due(facts()).forEach(order => {
      orders.onAccepted(order);
    });
    t.deepEqual(orders.due(facts()), []);
  });

  // Guards against spot replicas that are never replaced after they were reclaimed.
  it('reorders reclaimed replicas', t => {
    const clock = manualClock();
    const orders = new ReplicaOrders(clock.now);
    orders.due(facts()).forEach(order => {
      orders.onAccepted(order);
    });
    clock.advance(20_000);
    const reclaimed = new Map(census(4, 24)).set(B, { lasting: 5, spot: 0 });
    const due = orders.due(facts({ census: reclaimed, isIdle: false }));
    t.true(due.some(({ failureDomain, spot }) => failureDomain === B && spot));
  });

  it('skips a failure domain without available spot replicas for a while', t => {
    const clock = manualClock();
    const orders = new ReplicaOrders(clock.now);
    const [first] = orders.due(facts());
    if (first) {
      orders.onUnavailable(first);
    }
    const domains = orders
      .due(facts())
      .filter(({ spot }) => spot)
      .map(({ failureDomain }) => failureDomain);
    t.false(first !== undefined && domains.includes(first.failureDomain));
    t.is(domains.length, 2);
    clock.advance(2000);
    t.is(orders.due(facts()).filter(({ spot }) => spot).length, 3);
  });

  // Guards against streams that are cut off because replicas are released and then
  // ordered again.
  it('releases nothing between two bursts', t => {
    const clock = manualClock();
    const orders = new ReplicaOrders(clock.now);
    const active = census(4, 24);
    orders.due(facts({ census: active })).forEach(order => {
      orders.onAccepted(order);
    });
    const quiet = facts({ census: active, need: 10, isIdle: false });
    t.deepEqual(orders.due(quiet), []);
    clock.advance(5000);
    t.deepEqual(orders.due(quiet), []);
    clock.advance(5000);
    t.true(orders.due(quiet).length > 0);
  });

  // Guards against dozens of replicas leaving at once while requests still reach them.
  it('releases a few replicas at a time while there is load', t => {
    const clock = manualClock();
    const orders = new ReplicaOrders(clock.now);
    const active = census(4, 24);
    orders.due(facts({ census: active })).forEach(order => {
      orders.onAccepted(order);
    });
    const quiet = facts({ census: active, need: 10, isIdle: false });
    orders.due(quiet);
    clock.advance(9000);
    const due = orders.due(quiet);
    t.true(due.length > 0);
    due.forEach(order => {
      t.true(order.count >= (order.spot ? 24 : 4) - 3);
      orders.onAccepted(order);
    });
    t.deepEqual(orders.due(quiet), []);
    clock.advance(2000);
    const fewer = facts({ ...quiet, census: census(4, 21) });
    t.true(orders.due(fewer).length > 0);
  });

  it('continues with the orders of the previous holder', t => {
    const clock = manualClock();
    const before = new ReplicaOrders(clock.now);
    before.due(facts()).forEach(order => {
      before.onAccepted(order);
    });
    const after = new ReplicaOrders(clock.now);
    after.takeOver(before.inForce);
    t.deepEqual(after.due(facts()), []);
  });
});

describe('CapacityEstimator', ({ it }) => {
  const OPTIONS = { targetUse: 0.5, holdMs: 10_000, decayMs: 20_000 };
  const load = (inFlight: number) => ({ inFlight, slots: 16, most: 120 });

  it('increases with the load at once', t => {
    const estimator = new CapacityEstimator(20, manualClock().now, OPTIONS);
    t.is(estimator.observe(load(0)), 20);
    t.is(estimator.observe(load(400)), 50);
    t.is(estimator.observe(load(4000)), 120);
  });

  // Guards against a second burst that finds the capacity of the first one released.
  it('is held between two bursts and then decays', t => {
    const clock = manualClock();
    const estimator = new CapacityEstimator(20, clock.now, OPTIONS);
    estimator.observe(load(400));
    clock.advance(9000);
    t.is(estimator.observe(load(40)), 50);
    Array.from({ length: 100 }).forEach(() => {
      clock.advance(1000);
      estimator.observe(load(40));
    });
    t.true(estimator.replicas < 10);
  });
});
