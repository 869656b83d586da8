import fc from 'fast-check';
import type { Replica } from '@jujubecroft/types';
import { describe } from '@jujubecroft/testing';

import type { BackendLoad } from '../../../src/index.js';
import { applySpeedReports } from '../../../src/index.js';
import { estimatesOf } from '../../../src/gateway/GatewayBoard.js';
import { homeReplica } from '../../../src/gateway/placement/cacheFetch.js';
import { splitBySpeed } from '../../../src/gateway/placement/splitBySpeed.js';
import { ReplicaSpeed } from '../../../src/gateway/speed/ReplicaSpeed.js';
import type { GatewayFixture } from '../helpers/gatewayFixture.js';
import {
  gatewayFixture,
  PLAIN,
  replica,
  route,
  SERVICE,
} from '../helpers/gatewayFixture.js';

const REPLICAS = ['s-0', 's-1', 's-2'].map(name => replica(name, { slots: 2 }));
const PARTS = [{ id: 'own', tokens: 400 }];
const FAST_MS = 20;
const SLOW_MS = 50;

/** Three replicas, of which the last is fast once speeds are reported. */
function fixture(replicas: readonly Replica[] = REPLICAS): GatewayFixture {
  return gatewayFixture([route()], replicas);
}

function reportSpeeds({ board }: GatewayFixture): void {
  applySpeedReports(
    board,
    REPLICAS.map(({ id, bornMs }) => ({
      id,
      bornMs,
      samples: 40,
      unitMs: id === 's-2' ? FAST_MS : SLOW_MS,
      speedClass: 'usual',
    })),
  );
}

function rankedBy({ router, request }: GatewayFixture): string {
  const decision = router.place(request(route(), PARTS), new Set());
  return decision.kind === 'send' ? decision.placed.load.replica.id : '';
}

/** Makes a replica reject a request while it reports four others. */
function rejectAsFull({ router, request }: GatewayFixture): BackendLoad {
  const decision = router.place(request(route(), PARTS), new Set());
  if (decision.kind !== 'send') {
    throw new Error('a replica is free');
  }
  const attempt = router.beginAttempt(
    request(route(), PARTS),
    decision.placed,
    1,
  );
  router.onReported(attempt, { running: 2, waiting: 2, slots: 2 });
  router.onEnded(attempt, { kind: 'notRun', reason: 'status 503' });
  return attempt.load;
}

describe('placement by the speed of replicas', ({ it }) => {
  it('predicts a shorter time at a fast replica, and prefers it', t => {
    const uneven = fixture();
    reportSpeeds(uneven);
    const placed = Array.from({ length: 10 }, () => rankedBy(uneven));
    t.deepEqual([...new Set(placed)], ['s-2']);
  });

  it('avoids a replica that is as full as when it rejected a request', t => {
    // Guards against requests with one attempt being lost at a full replica while
    // another has room.
    const uneven = fixture();
    reportSpeeds(uneven);
    const full = rejectAsFull(uneven);
    t.true(full.isFull);
    t.false(rankedBy(uneven) === full.replica.id);
    uneven.clock.advance(5000);
    t.false(full.isFull);
  });

  it('takes a replica for full no earlier than at the most that it reported', t => {
    // Guards against a replica that once rejected a request for another reason, and
    // whose queue is then left empty for good.
    const load = rejectAsFull(fixture());
    t.true(load.isFull);
    load.onReported({ running: 2, waiting: 9, slots: 2 });
    load.onReported({ running: 2, waiting: 8, slots: 2 });
    t.false(load.isFull);
    load.onReported({ running: 2, waiting: 9, slots: 2 });
    t.true(load.isFull);
  });

  it('lets the answers of a plain service outweigh a false slowdown', t => {
    // Guards against a replica that escapes its share of the work by stating a
    // slowdown that its answers don't show.
    const plainRoute = route({ shares: [{ service: PLAIN, weight: 1 }] });
    const { router, request, clock } = gatewayFixture(
      [plainRoute],
      [replica('p-0', { service: PLAIN })],
    );
    const predictions = Array.from({ length: 60 }, () => {
      const of = { ...request(plainRoute), prompt: null };
      const service = { id: PLAIN, maxConnections: 96, engine: null };
      const decision = router.place({ ...of, service }, new Set());
      if (decision.kind !== 'send') {
        throw new Error('the replica is free');
      }
      const attempt = router.beginAttempt(
        { ...of, service },
        decision.placed,
        1,
      );
      clock.advance(50);
      router.onReported(attempt, {
        running: 1,
        waiting: 0,
        slots: 64,
        slowdown: 99,
      });
      router.onBytes(attempt);
      router.onEnded(attempt, {
        kind: 'answered',
        status: 200,
        framing: 'selfDelimited',
      });
      return decision.placed.predictedMs;
    });
    const last = predictions.at(-1) ?? NaN;
    t.true(last < 70, String(last));
  });

  it('waits longer for a slow replica of a plain service before moving a call', t => {
    // Guards against calls that are withdrawn from a slow replica although they run
    // there at its usual pace, and run once more elsewhere.
    const plainRoute = route({
      kind: 'safe',
      maxAttempts: 2,
      shares: [{ service: PLAIN, weight: 1 }],
    });
    const replicas = ['p-0', 'p-1', 'p-2'].map(name =>
      replica(name, { service: PLAIN }),
    );
    const { router, board, request, clock } = gatewayFixture(
      [plainRoute],
      replicas,
    );
    applySpeedReports(
      board,
      replicas.map(({ id }) => ({
        id,
        bornMs: null,
        samples: 1000,
        unitMs: id === 'p-0' ? 400 : 100,
        speedClass: 'usual',
      })),
    );
    board.speeds.current(PLAIN);
    const answerMs = 200;
    estimatesOf(board, PLAIN).answerMs = answerMs;
    const service = { id: PLAIN, maxConnections: 96, engine: null };
    const of = { ...request(plainRoute), prompt: null, service };
    const decision = router.place(
      of,
      new Set(replicas.slice(1).map(({ id }) => id)),
    );
    if (decision.kind !== 'send') {
      throw new Error('the replica is free');
    }
    const attempt = router.beginAttempt(of, decision.placed, 1);
    t.is(String(attempt.load.replica.id), 'p-0');
    clock.advance(2.6 * answerMs);
    t.deepEqual(router.findAttemptsToMove(), []);
    clock.advance(2.6 * answerMs);
    t.deepEqual(router.findAttemptsToMove(), [attempt]);
  });

  it('ignores the fullness of replicas that report no slowdown', t => {
    const even = fixture();
    const full = rejectAsFull(even);
    t.true(full.isFull);
    t.is(rankedBy(even), full.replica.id);
  });

  it('keeps the home of a prompt part while its replica stays in its class', t => {
    // Guards against homes that move, and prompts that are read again, with each sample.
    const { board } = fixture();
    const loads = [...board.backends.values()];
    const parts = Array.from({ length: 300 }, (_, index) => ({
      id: `p-${index}`,
      tokens: 1,
    }));
    const homesAt = (samples: number, slowMs: number) => {
      applySpeedReports(
        board,
        REPLICAS.map(({ id, bornMs }) => ({
          id,
          bornMs,
          samples,
          unitMs: id === 's-2' ? FAST_MS : slowMs,
          speedClass: id === 's-2' ? 'fast' : 'slow',
        })),
      );
      const speeds = board.speeds.current(SERVICE);
      return {
        factors: loads.map(load => speeds?.factorOf(load)),
        homes: parts.map(part => homeReplica(part, loads, speeds?.capacityOf)),
      };
    };
    const before = homesAt(40, SLOW_MS);
    const after = homesAt(41, 1.1 * SLOW_MS);
    t.notDeepEqual(after.factors, before.factors);
    t.deepEqual(
      after.homes.map(home => home?.replica.id),
      before.homes.map(home => home?.replica.id),
    );
  });

  it('gives homes in proportion to capacity, and by hash alone if it is equal', t => {
    const { board } = fixture();
    const loads = [...board.backends.values()];
    const parts = Array.from({ length: 300 }, (_, index) => ({
      id: `p-${index}`,
      tokens: 1,
    }));
    const homes = (of: (load: BackendLoad) => number): number =>
      parts.filter(part => homeReplica(part, loads, of)?.replica.id === 's-2')
        .length;
    t.deepEqual(
      parts.map(part => homeReplica(part, loads)),
      parts.map(part => homeReplica(part, loads, () => 0.7)),
    );
    const doubled = homes(load => (load.replica.id === 's-2' ? 2 : 1));
    t.true(doubled > 120 && doubled < 180, String(doubled));
  });
});

describe('class of the speed of a replica', ({ it }) => {
  it('is the same at all instances, whichever class they heard of first', t => {
    // Guards against groups that differ between instances for as long as a replica
    // is between the bounds of two classes and there are no new samples.
    const instances = [new ReplicaSpeed(), new ReplicaSpeed()];
    const estimate = { samples: 20, unitMs: 12 };
    const classes = ['slow', 'usual'] as const;
    instances.forEach((speed, index) => {
      (index === 0 ? classes : [...classes].reverse()).forEach(speedClass => {
        speed.merge({ ...estimate, speedClass }, 0);
      });
      speed.relateTo(10, 0);
    });
    t.is(instances[0]?.speedClass, instances[1]?.speedClass);
  });

  it('reaches an instance that knows the estimate with the class before', t => {
    const [own, other] = [new ReplicaSpeed(), new ReplicaSpeed()];
    const estimate = { samples: 20, unitMs: 20, speedClass: 'usual' as const };
    own.merge(estimate, 0);
    other.merge(estimate, 0);
    own.relateTo(10, 0);
    t.is(own.speedClass, 'slow');
    t.true(own.estimate !== null && other.merge(own.estimate, 0));
    t.is(other.speedClass, 'slow');
    t.false(own.merge(estimate, 0));
  });

  it('does not change back and forth with samples around a bound', t => {
    // Guards against groups that exchange replicas, and homes that move, with each
    // sample.
    const speed = new ReplicaSpeed();
    const factors = [1.3, 1.2, 1.26, 1.15, 1.24, 1.2, 1.3, 1.14];
    const classes = factors.map((factor, index) => {
      const samples = 1000 + index;
      const { speedClass } = speed;
      speed.merge({ samples, unitMs: 10 * factor, speedClass }, index);
      speed.relateTo(10, index);
      return speed.speedClass;
    });
    t.deepEqual([...new Set(classes)], ['slow']);
  });
});

describe('splitBySpeed', ({ it }) => {
  const REPLICA_NAMES = ['f1', 's1', 'f2', 'u1', 's2', 'f3', 's3', 'f4', 'u2'];
  const pace = {
    classOf: (name: string) =>
      name.startsWith('s') ? 'slow' : name.startsWith('f') ? 'fast' : 'usual',
    capacityOf: (name: string) =>
      name.startsWith('s') ? 0.6 : name.startsWith('f') ? 1.4 : 1,
  } as const;
  const need = (replicas: number, minReplicas = 1) => ({
    replicas,
    minReplicas,
  });

  it('keeps delicate streams off slow replicas, and gives those to short answers', t => {
    // Guards against live answers that pause while a slow replica reads a prompt.
    const [delicate, middle, last] = splitBySpeed(
      [need(2.8), need(1.7), need(0)],
      REPLICA_NAMES,
      pace,
      0.25,
    );
    t.deepEqual(delicate, ['f1', 'f2']);
    t.deepEqual(middle, ['s1', 's2', 's3']);
    t.deepEqual(last, ['u1', 'u2', 'f3', 'f4']);
  });

  it('gives each replica to one group, and each group a replica', t => {
    fc.assert(
      fc.property(
        fc.uniqueArray(fc.constantFrom(...REPLICA_NAMES), { minLength: 3 }),
        fc.array(fc.double({ min: 0, max: 20, noNaN: true }), {
          minLength: 3,
          maxLength: 3,
        }),
        (names, amounts) => {
          const groups = splitBySpeed(
            amounts.map(amount => need(amount)),
            names,
            pace,
            0.25,
          );
          return (
            groups.every(group => group.length > 0) &&
            groups.flat().sort().join() === [...names].sort().join()
          );
        },
      ),
    );
    t.pass();
  });
});
