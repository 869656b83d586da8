import type { BackendServerId, InstanceId } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';
import { describe } from '@jujubecroft/testing';

import type { BackendLoad, GatewayAttempt } from '../../../src/index.js';
import { createLimitReports, applyLimitReports } from '../../../src/index.js';
import type { GatewayFixture } from '../helpers/gatewayFixture.js';
import { gatewayFixture, replica, route } from '../helpers/gatewayFixture.js';

const URGENT = 0;
const LAST = 5;
const NAMES = ['a', 'b'];
const STREAM = route();

interface Limited extends GatewayFixture {
  readonly load: BackendLoad;
  /** Lets the replica report a limit in an answer to this instance. */
  readonly name: (perS: number | null) => void;
  readonly send: () => GatewayAttempt | string;
}

function limited(names: readonly string[] = ['a']): Limited {
  const fixture = gatewayFixture(
    [STREAM],
    names.map(name => replica(name, { bornMs: 1 })),
  );
  const { board, router, request } = fixture;
  const load = board.backends.get(brand<BackendServerId>('a'));
  if (!load) {
    throw new Error('the fixture has no replica');
  }
  return {
    ...fixture,
    load,
    name: perS => {
      board.limits.onAnswer(load, { perS, atMs: board.clock() });
    },
    send: () => {
      const next = request(STREAM);
      const decision = router.place(next, new Set());
      return decision.kind === 'send'
        ? router.beginAttempt(next, decision.placed, 1)
        : decision.code;
    },
  };
}

const fleetOf = (count: number): readonly InstanceId[] =>
  Array.from({ length: count }, (_, index) =>
    brand<InstanceId>(`i-${index + 1}`),
  );

describe('ReplicaLimits', ({ describe: group }) => {
  group('allows requests', ({ it }) => {
    it('without restriction while there is no limit, and again when a limit ends', t => {
      const { board, load, name } = limited();
      t.true(board.limits.mayTake(load, LAST));
      name(4);
      t.false(board.limits.mayTake(load, URGENT));
      name(null);
      t.true(board.limits.mayTake(load, LAST));
    });

    it('at the rate of the limit when more are offered', t => {
      const { board, load, name, send, clock } = limited();
      name(4);
      let sent = 0;
      for (let time = 0; time < 100; time += 1) {
        clock.advance(100);
        sent += typeof send() === 'string' ? 0 : 1;
      }
      t.true(sent > 36 && sent <= 41, `${sent} in ten seconds`);
      t.true(board.limits.waitMs(load, URGENT) <= 250);
    });

    it('of urgent callers before less urgent ones', t => {
      const { board, load, name, clock } = limited();
      name(4);
      clock.advance(250);
      t.true(board.limits.mayTake(load, URGENT));
      t.false(board.limits.mayTake(load, LAST));
      clock.advance(125);
      t.true(board.limits.mayTake(load, LAST));
    });

    it('in bursts of at most two', t => {
      const { board, load, name, clock } = limited();
      name(4);
      clock.advance(60_000);
      [1, 2].forEach(() => {
        t.true(board.limits.mayTake(load, URGENT));
        board.limits.take(load);
      });
      t.false(board.limits.mayTake(load, URGENT));
    });

    it('in place of one that did not reach the replica', t => {
      const { router, name, send, clock } = limited();
      name(4);
      clock.advance(250);
      const attempt = send();
      t.not(typeof attempt, 'string');
      t.is(send(), 'noBackendServer');
      if (typeof attempt !== 'string') {
        router.onEnded(attempt, { kind: 'unsent', reason: 'refused' });
      }
      t.not(typeof send(), 'string');
    });

    it('occasionally to a replica with a limit of 0', t => {
      const { name, send, clock } = limited();
      name(0);
      clock.advance(2000);
      t.is(send(), 'noBackendServer');
      clock.advance(2000);
      t.not(typeof send(), 'string');
    });
  });

  group('shares a limit', ({ it }) => {
    it('among a few instances, which start with an empty bucket', t => {
      const { board, router, load, name, clock } = limited();
      name(4);
      clock.advance(60_000);
      router.onInstances(fleetOf(200));
      const isSender = board.limits.waitMs(load, URGENT) < Infinity;
      router.onInstances(fleetOf(2));
      t.true(isSender || !board.limits.mayTake(load, URGENT));
      clock.advance(600);
      t.true(board.limits.mayTake(load, URGENT));
    });

    it('and uses other replicas, or refuses with a retry-after', t => {
      const { name, send, clock, router, request } = limited(NAMES);
      name(2);
      const attempt = send();
      t.is(typeof attempt === 'string' ? '' : attempt.load.replica.id, 'b');
      const alone = limited();
      alone.name(2);
      const decision = alone.router.place(alone.request(STREAM), new Set());
      t.true(decision.kind === 'refuse' && decision.retryAfterMs === 500);
      t.truthy([clock, router, request]);
    });
  });

  group('exchanges limits with other instances', ({ it }) => {
    it('and applies a limit and its end, but no limit of another run', t => {
      const [here, there] = [limited(), limited()];
      here.name(4);
      applyLimitReports(there.board, createLimitReports(here.board));
      t.is(there.load.limitPerS, 4);
      here.clock.advance(2000);
      there.clock.advance(2000);
      here.name(null);
      applyLimitReports(there.board, createLimitReports(here.board));
      t.is(there.load.limitPerS, null);
      here.name(4);
      const [report] = createLimitReports(here.board);
      if (report) {
        applyLimitReports(there.board, [{ ...report, bornMs: 2 }]);
      }
      t.is(there.load.limitPerS, null);
    });

    it('and keeps a limit that is newer than the end that another one reports', t => {
      const { board, load, name } = limited();
      name(4);
      const { id, bornMs } = load.replica;
      applyLimitReports(board, [{ id, bornMs, perS: null, ageMs: 100 }]);
      t.is(load.limitPerS, 4);
    });

    it('and announces changes at once, the rest over time', t => {
      const { board, name, clock } = limited();
      let announcements = 0;
      board.limits.onChange(() => {
        announcements += 1;
      });
      [null, 4, 4, 5, null].forEach(name);
      t.is(announcements, 3);
      clock.advance(10_000);
      t.is(createLimitReports(board).length, 1);
      t.deepEqual(createLimitReports(limited().board), []);
    });
  });
});
