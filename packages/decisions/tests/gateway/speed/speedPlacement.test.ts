import type { Replica } from '@jujubecroft/types';
import { describe } from '@jujubecroft/testing';

import type { BackendLoad } from '../../../src/index.js';
import { applySpeedReports } from '../../../src/index.js';
import { homeReplica } from '../../../src/gateway/placement/cacheFetch.js';
import { splitByCapacity } from '../../../src/gateway/placement/splitByCapacity.js';
import { ReplicaSpeed } from '../../../src/gateway/speed/ReplicaSpeed.js';
import type { GatewayFixture } from '../helpers/gatewayFixture.js';
import { gatewayFixture, replica, route } from '../helpers/gatewayFixture.js';

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

  it('ignores the fullness of replicas that report no slowdown', t => {
    const even = fixture();
    const full = rejectAsFull(even);
    t.true(full.isFull);
    t.is(rankedBy(even), full.replica.id);
  });

  it('keeps the home of a prompt part while its replica stays in its class', t => {
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

describe('splitByCapacity', ({ it }) => {
  const replicas = Array.from({ length: 9 }, (_, at) => ({
    capacity: at < 3 ? 0.6 : 1.4,
    isBorder: at === 3,
  }));
  const need = (amount: number, minReplicas = 1) => ({
    replicas: amount,
    minReplicas,
  });

  it('gives a group more slow replicas than fast ones for the same need', t => {
    const sizes = splitByCapacity(
      [need(1.8), need(1.4), need(0)],
      replicas,
      0.25,
    );
    t.deepEqual(sizes, [3, 1, 5]);
  });

  it('ends a group where a class begins if the need is near it', t => {
    // Guards against instances that know demand differently placing the border in
    // different classes.
    [2.6, 3, 3.4, 4].forEach(count => {
      const sizes = splitByCapacity([need(0, count), need(0)], replicas, 0.25);
      t.is(sizes[0], 3, String(count));
    });
  });
});
