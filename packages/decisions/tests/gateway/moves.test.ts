import type { BackendServerId, ServiceId } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';
import { describe } from '@jujubecroft/testing';

import type { GatewayAttempt } from '../../src/index.js';
import type { GatewayFixture } from './helpers/gatewayFixture.js';
import {
  configuration,
  gatewayFixture,
  replica,
  route,
} from './helpers/gatewayFixture.js';

const NAMES = ['a', 'b', 'c', 'd'];
const STREAM = route();

interface Streams extends GatewayFixture {
  /** Sends a stream that has begun, and has given so many pieces. */
  readonly begin: (pieces: number) => GatewayAttempt;
  /** Lets the replica of an attempt leave. */
  readonly leave: (attempt: GatewayAttempt, spot: boolean) => void;
}

function streams(movesRuns = true): Streams {
  const fixture = gatewayFixture(
    [STREAM],
    NAMES.map(name => replica(name)),
  );
  const { router, board, clock, request } = fixture;
  const cfg = configuration([STREAM], 2);
  router.configure({
    ...cfg,
    services: cfg.services.map(service =>
      service.engine
        ? { ...service, engine: { ...service.engine, movesRuns } }
        : service,
    ),
  });
  let version = 10;
  return {
    ...fixture,
    begin: pieces => {
      const sent = request(STREAM);
      const service = board.table?.service(brand<ServiceId>(sent.service.id));
      const decision = router.place(
        service ? { ...sent, service } : sent,
        new Set(),
      );
      if (decision.kind !== 'send') {
        throw new Error(decision.code);
      }
      const attempt = router.begin(
        service ? { ...sent, service } : sent,
        decision.placed,
        1,
      );
      Array.from({ length: pieces }).forEach(() => {
        clock.advance(10);
        router.onBytes(attempt);
      });
      return attempt;
    },
    leave: ({ load }, spot) => {
      version += 1;
      const { id } = load.replica;
      const leaving = replica(id, { leaving: true, ...(spot ? { spot } : {}) });
      board.replicas.applyRows(
        [{ id, rowVersion: version, replica: leaving }],
        version,
        0,
      );
      router.syncReplicas();
    },
  };
}

describe('runs whose replica leaves', ({ it }) => {
  // Guards against long answers that are cut off with replicas that are reclaimed.
  it('are moved at once where it is reclaimed', t => {
    const { begin, leave, router } = streams();
    const attempt = begin(3);
    t.deepEqual(router.findStranded(), []);
    leave(attempt, true);
    t.deepEqual(router.findStranded(), [attempt]);
  });

  it('are moved only where they would not end in time', t => {
    const { begin, leave, router, clock } = streams();
    const attempt = begin(3);
    leave(attempt, false);
    t.deepEqual(router.findStranded(), []);
    clock.advance(1300);
    t.deepEqual(router.findStranded(), [attempt]);
  });

  it('stay where they have not begun, or engines move nothing', t => {
    const waiting = streams();
    const unbegun = waiting.begin(0);
    waiting.leave(unbegun, true);
    t.deepEqual(waiting.router.findStranded(), []);
    const fixed = streams(false);
    const begun = fixed.begin(3);
    fixed.leave(begun, true);
    t.deepEqual(fixed.router.findStranded(), []);
  });

  it('go to a replica that stays and has room', t => {
    const { begin, leave, router } = streams();
    const attempt = begin(3);
    leave(attempt, true);
    const placed = router.placeMove(attempt);
    t.not(placed?.load.replica.id, attempt.load.replica.id);
    t.true(NAMES.includes(placed?.load.replica.id ?? ''));
  });

  it('stay where no other replica has room', t => {
    const { begin, leave, router, board } = streams();
    const attempt = begin(3);
    leave(attempt, true);
    NAMES.forEach(name => {
      const load = board.backends.get(brand<BackendServerId>(name));
      load?.onReported({ running: 64, waiting: 9, slots: 64 });
    });
    t.is(router.placeMove(attempt), null);
  });

  // Guards against a whole fleet of moves that counts as repeats beyond the budget.
  it('stay where the budget of repeats is used up', t => {
    const { begin, leave, router, board } = streams();
    const attempt = begin(3);
    leave(attempt, true);
    while (board.budget.take(attempt.request.service.id)) {
      // Taken by others.
    }
    t.is(router.placeMove(attempt), null);
  });
});
