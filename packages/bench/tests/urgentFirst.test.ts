import { describe } from '@jujubecroft/testing';
import { defaultGatewayPolicies } from '@jujubecroft/decisions';

import { GatewayReplay } from '../src/gateway/GatewayReplay.js';
import type { ReplayLoad } from '../src/gateway/burstLoad.js';
import type { ReplayShape } from '../src/gateway/replayShapes.js';
import { LARGE_FLEET, SMALL_FLEET } from '../src/gateway/replayShapes.js';
import {
  EQUAL_PRIORITY_LOAD,
  TWO_PRIORITIES_LOAD,
} from '../src/gateway/organisationPriorityLoads.js';

const SEEDS = [1, 2];

function inversionsOf(
  shape: ReplayShape,
  load: ReplayLoad = EQUAL_PRIORITY_LOAD,
): readonly string[] {
  return SEEDS.flatMap(seed => {
    const replay = new GatewayReplay(defaultGatewayPolicies, seed, {
      ...shape,
      load,
    });
    replay.run();
    return replay.priorityInversions.map(
      ({ kind, fromMs, requests, unserved, lessUrgentStarted }) =>
        `seed ${seed}, from ${fromMs} ms: ${unserved} of ${requests} ${kind} went unserved, ${lessUrgentStarted} less urgent ones started`,
    );
  });
}

// Guards against less urgent requests being served while more urgent ones are refused.
// With invoices at several times their usual rate, 11 of 119 price checks went unserved
// in five seconds, most of them refused within milliseconds, while invoices of four
// times their size started at the same service; in another run 45 of 118 were refused
// while 41 invoices were served.
// The routes have priorities 0, 1 and 2 and the organisations all have 1, which replaced
// the priority of the route: every "requestPlaced" of all five routes had "priority":1.
// Replicas therefore served in order of arrival, and admission counted all earlier
// prompts as ahead of a price check: up to 37,338 tokens, against a median of 1,350 of
// its own. In addition, instances that had just started expected forty events for its
// answers of five; 30 of 47 price checks were refused in the two seconds after four
// instances had started.
describe('replay of a burst: urgent requests are not refused while less urgent ones start', ({
  it,
}) => {
  it('on six instances', t => {
    t.deepEqual(inversionsOf(SMALL_FLEET), []);
  });

  it('on sixty instances that each know the work of a few others', t => {
    t.deepEqual(inversionsOf(LARGE_FLEET), []);
  });

  // Most price checks were refused just after four of the six instances had restarted
  // and expected forty events for answers of five.
  it('while four of six instances restart', t => {
    const restarts = [{ atMs: 8000, instances: 4 }];
    t.deepEqual(inversionsOf({ ...SMALL_FLEET, restarts }), []);
  });

  it('while forty of sixty instances restart', t => {
    const restarts = [{ atMs: 8000, instances: 40 }];
    t.deepEqual(inversionsOf({ ...LARGE_FLEET, restarts }), []);
  });

  it('with organisations of two priorities', t => {
    t.deepEqual(inversionsOf(SMALL_FLEET, TWO_PRIORITIES_LOAD), []);
    t.deepEqual(inversionsOf(LARGE_FLEET, TWO_PRIORITIES_LOAD), []);
  });
});

// Guards against organisation priorities outranking route priorities at the engines. In
// a burst of live answers for organisations of two priorities, an engine preempted 34
// requests while less urgent ones kept running; the first was a live answer ("rank":5,
// "priority":3) for an organisation of the second priority, while price checks and
// invoices for one of the first priority had ranks 1 and 3. Requests are ranked by the
// priority of the route first and then by that of the organisation.
describe('replay of a burst: engines with all slots taken preempt the least urgent route first', ({
  it,
}) => {
  const misorderedPreemptionsOf = (shape: ReplayShape): readonly number[] =>
    SEEDS.map(seed => {
      const load = TWO_PRIORITIES_LOAD;
      const replay = new GatewayReplay(defaultGatewayPolicies, seed, {
        ...shape,
        load,
      });
      replay.run();
      return replay.misorderedPreemptions;
    });

  it('on six instances', t => {
    t.deepEqual(misorderedPreemptionsOf({ ...SMALL_FLEET, slots: 16 }), [0, 0]);
  });

  it('on sixty instances', t => {
    t.deepEqual(misorderedPreemptionsOf({ ...LARGE_FLEET, slots: 16 }), [0, 0]);
  });
});
