import fc from 'fast-check';
import type { BackendServerId } from '@jujubecroft/types';
import { brand, createRandom } from '@jujubecroft/types';
import { describe } from '@jujubecroft/testing';

import type { GatewayAttempt, GatewayRouter } from '../../../src/index.js';
import {
  applySpeedReports,
  createAllSpeedReports,
  createSpeedReports,
} from '../../../src/index.js';
import type { GatewayFixture } from '../helpers/gatewayFixture.js';
import { gatewayFixture, replica, route } from '../helpers/gatewayFixture.js';

const REPLICAS = 12;
const EVENT_MS = 40;
const EVENTS = 24;
const ROUND_MS = 250;

function isSlow(index: number): boolean {
  return index % 3 === 0;
}

function createInstance(bornMs = 1): GatewayFixture {
  const replicas = Array.from({ length: REPLICAS }, (_, index) =>
    replica(`s-${index}`, { bornMs }),
  );
  return gatewayFixture([route()], replicas);
}

/** Sends a request to one replica, and lets its events arrive at the replica's pace. */
function stream(
  { router, board, clock, request }: GatewayFixture,
  index: number,
  slowdown?: number,
): GatewayAttempt {
  const of = request(route(), [{ id: 'p', tokens: 100 }]);
  const tried = new Set(
    [...board.backends.keys()].filter(id => id !== `s-${index}`),
  );
  const decision = router.place(of, tried);
  if (decision.kind !== 'send') {
    throw new Error('the replica takes every request');
  }
  const attempt = router.beginAttempt(of, decision.placed, 1);
  router.onReported(attempt, {
    running: 1,
    waiting: 0,
    slots: 64,
    ...(slowdown === undefined ? {} : { slowdown }),
  });
  Array.from({ length: EVENTS }).forEach(() => {
    clock.advance(EVENT_MS * (isSlow(index) ? 1.7 : 0.7));
    router.onBytes(attempt);
  });
  router.onEnded(attempt, {
    kind: 'answered',
    status: 200,
    framing: 'selfDelimited',
  });
  return attempt;
}

function classesOf({ board }: GatewayRouter): readonly (string | undefined)[] {
  const speeds = board.speeds.current(route().shares[0]?.service as never);
  return [...board.backends.values()].map(load => speeds?.classOf(load));
}

const EXPECTED = Array.from({ length: REPLICAS }, (_, index) =>
  isSlow(index) ? 'slow' : 'fast',
);

describe('speed of replicas in messages between instances', ({ it }) => {
  // Guards against instances that place by their own measurements alone: in a large
  // fleet, each hears of a given replica once in some twenty seconds.
  [6, 60, 195].forEach(instances => {
    it(`reaches ${instances} instances within two seconds, although each replica was seen by one`, t => {
      const random = createRandom(instances);
      const fleet = Array.from({ length: instances }, () => createInstance());
      fleet.slice(0, Math.min(instances, REPLICAS)).forEach((instance, own) => {
        Array.from({ length: REPLICAS })
          .map((_, index) => index)
          .filter(index => index % instances === own)
          .forEach(index => {
            stream(instance, index, 1);
          });
      });
      Array.from({ length: 2000 / ROUND_MS }).forEach(() => {
        fleet.forEach(instance => {
          const other = fleet[Math.floor(random() * instances)] ?? instance;
          const asked = createSpeedReports(instance.board);
          applySpeedReports(instance.board, createSpeedReports(other.board));
          applySpeedReports(other.board, asked);
        });
        fleet.forEach(({ clock }) => {
          clock.advance(ROUND_MS);
        });
      });
      const all = fleet.map(({ router }) => classesOf(router).join());
      t.deepEqual([...new Set(all)], [EXPECTED.join()]);
    });
  });

  it('reaches others for all replicas, also when there is more news than fits', t => {
    // Guards against sending the same first news each time, so that those beyond the
    // maximum wait until they are no news any more.
    const replicas = Array.from({ length: 120 }, (_, index) =>
      replica(`s-${index}`, { bornMs: 1 }),
    );
    const [known, other] = [
      gatewayFixture([route()], replicas),
      gatewayFixture([route()], replicas),
    ];
    const reports = replicas.map(({ id }) => ({
      id,
      bornMs: 1,
      samples: 1,
      unitMs: 40,
      speedClass: 'usual' as const,
    }));
    applySpeedReports(known.board, reports);
    Array.from({ length: 40 }).forEach(() => {
      applySpeedReports(other.board, createSpeedReports(known.board));
      known.clock.advance(25);
    });
    t.is(createAllSpeedReports(other.board).length, replicas.length);
  });

  it('is known to a new instance with its first exchange', t => {
    const [known, newcomer] = [createInstance(), createInstance()];
    EXPECTED.forEach((_, index) => stream(known, index, 1));
    known.clock.advance(60_000);
    applySpeedReports(newcomer.board, createAllSpeedReports(known.board));
    t.deepEqual(classesOf(newcomer.router), EXPECTED);
    t.true(createSpeedReports(known.board).length < REPLICAS);
  });

  it('does not depend on the order, repetition or delay of messages', t => {
    const [sender, a, b] = [
      createInstance(),
      createInstance(),
      createInstance(),
    ];
    const messages = EXPECTED.map((_, index) => {
      stream(sender, index, 1);
      return createAllSpeedReports(sender.board);
    });
    messages.forEach(reports => {
      applySpeedReports(a.board, reports);
    });
    [...messages, ...messages].reverse().forEach(reports => {
      applySpeedReports(b.board, reports);
    });
    // The class follows from the estimates, and is worked out by each instance.
    const sorted = ({ board }: GatewayFixture): readonly string[] =>
      createAllSpeedReports(board)
        .map(({ id, samples, unitMs }) => `${id} ${samples} ${unitMs}`)
        .sort();
    t.deepEqual(sorted(a), sorted(b));
    t.deepEqual(sorted(a), sorted(sender));
    t.deepEqual(classesOf(a.router), EXPECTED);
    t.deepEqual(classesOf(b.router), EXPECTED);
  });

  it('is the same at all instances that heard of the same learners, in any order', t => {
    // Guards against a rule of preference by which estimates of different instances,
    // with as many samples or as short a time, win or lose by the order of arrival.
    const report = fc.record({
      id: fc.constantFrom(...EXPECTED.map((_, index) => `s-${index}`)),
      samples: fc.integer({ min: 1, max: 4 }),
      unitMs: fc.integer({ min: 1, max: 4 }),
    });
    const heardBy = (
      reports: readonly { id: string; samples: number; unitMs: number }[],
    ): readonly string[] => {
      const { board } = createInstance();
      reports.forEach(({ id, ...estimate }) => {
        const run = { id: brand<BackendServerId>(id), bornMs: 1 };
        const speedClass = 'usual' as const;
        applySpeedReports(board, [{ ...run, ...estimate, speedClass }]);
      });
      return createAllSpeedReports(board)
        .map(({ id, samples, unitMs }) => `${id} ${samples} ${unitMs}`)
        .sort();
    };
    fc.assert(
      fc.property(
        fc.array(report, { maxLength: 30 }).chain(all =>
          fc.tuple(
            fc.constant(all),
            fc.shuffledSubarray([...all, ...all], {
              minLength: 2 * all.length,
            }),
          ),
        ),
        ([all, shuffled]) => heardBy(all).join() === heardBy(shuffled).join(),
      ),
    );
    t.pass();
  });

  it('is unknown for a new run of a replica, whatever is reported of the old one', t => {
    const [before, after] = [createInstance(1), createInstance(2)];
    EXPECTED.forEach((_, index) => stream(before, index, 1));
    applySpeedReports(after.board, createAllSpeedReports(before.board));
    t.is(createAllSpeedReports(after.board).length, 0);
  });
});

describe('speed of replicas from measurements', ({ it }) => {
  it('is not learnt for a service whose replicas report no slowdown', t => {
    const instance = createInstance();
    EXPECTED.forEach((_, index) => stream(instance, index));
    t.is(instance.board.speeds.services.size, 0);
    t.deepEqual(createSpeedReports(instance.board), []);
    const loads = [...instance.board.backends.values()];
    t.true(loads.every(load => instance.board.speeds.factorOf(load) === 1));
  });

  it('is forgotten when a replica restarts or goes, also at an idle instance', t => {
    // Guards against loads of earlier runs being kept for as long as an instance places
    // nothing, and counted in the metrics.
    const instance = createInstance();
    const { board, router } = instance;
    EXPECTED.forEach((_, index) => stream(instance, index, 1));
    const known = [...board.speeds.services.values()][0]?.known;
    t.is(known?.size, REPLICAS);
    const rows = Array.from({ length: REPLICAS - 1 }, (_, index) => {
      const entry = replica(`s-${index}`, { bornMs: index === 0 ? 2 : 1 });
      return { id: entry.id, rowVersion: 2, replica: entry };
    });
    board.replicas.applySnapshot(rows, 2, 0);
    router.syncReplicas();
    t.is(known?.size, REPLICAS - 2);
  });

  it('is a number for events that arrive together', t => {
    // Guards against a mean of 0, with which factors and predictions are not numbers
    // and time-outs never pass.
    const instance = createInstance();
    const { board, router, request } = instance;
    const of = request(route(), [{ id: 'p', tokens: 100 }]);
    const decision = router.place(of, new Set());
    if (decision.kind !== 'send') {
      throw new Error('a replica is free');
    }
    const attempt = router.beginAttempt(of, decision.placed, 1);
    router.onReported(attempt, {
      running: 1,
      waiting: 0,
      slots: 64,
      slowdown: 1,
    });
    Array.from({ length: EVENTS }).forEach(() => {
      router.onBytes(attempt);
    });
    const speeds = board.speeds.current(attempt.load.replica.service);
    t.is(speeds?.factorOf(attempt.load), 1);
  });

  it('is not changed by a false slowdown', t => {
    // Guards against dividing measurements by a reported slowdown: a replica that
    // always reports 2.5 would look 2.5 times as fast as it is and get all long answers.
    const instance = createInstance();
    EXPECTED.forEach((_, index) =>
      stream(instance, index, isSlow(index) ? 99 : 1),
    );
    t.deepEqual(classesOf(instance.router), EXPECTED);
  });
});
