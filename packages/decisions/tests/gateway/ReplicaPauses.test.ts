import { describe } from '@jujubecroft/testing';
import type { Replica } from '@jujubecroft/types';

import type { GatewayAttempt, GatewayRequest } from '../../src/index.js';
import { ReplicaPauses } from '../../src/gateway/ReplicaPauses.js';
import {
  gatewayFixture,
  manualClock,
  replica,
  route,
} from './helpers/gatewayFixture.js';

const STREAM = route();
/** Longest time by which a pause is extended. */
const MAX_EXTENSION_MS = 500;

function pausedFixture(names: readonly string[], pauseMs: number) {
  const fixture = gatewayFixture(
    [STREAM],
    names.map(name => replica(name, { bornMs: 5 })),
  );
  const { router, request } = fixture;
  const send = (of: GatewayRequest = request(STREAM)): GatewayAttempt => {
    const decision = router.place(of, new Set());
    if (decision.kind !== 'send') {
      throw new Error('the request was refused');
    }
    return router.beginAttempt(of, decision.placed, 1);
  };
  const reject = (attempt: GatewayAttempt): void => {
    router.onPauseRequested(attempt, pauseMs);
    router.onEnded(attempt, { kind: 'notRun', reason: 'status 503' });
  };
  return { ...fixture, send, reject };
}

describe('ReplicaPauses', ({ describe: group }) => {
  group('keep a replica from getting', ({ it }) => {
    it('new requests, although no other replica is left', t => {
      const { router, request, send, reject } = pausedFixture(['a'], 3000);
      reject(send());
      t.is(router.place(request(STREAM), new Set()).kind, 'refuse');
    });

    it('requests that wait for a connection', t => {
      const { router, send, reject } = pausedFixture(['a'], 3000);
      const waiting = send();
      t.true(router.mayReceive(waiting));
      reject(send());
      t.false(router.mayReceive(waiting));
    });

    it('requests after its entry was removed and is back', t => {
      const { board, router, request, send, reject } = pausedFixture(
        ['a'],
        3000,
      );
      const attempt = send();
      reject(attempt);
      const { replica: run } = attempt.load;
      [null, run].forEach((content, index) => {
        const rowVersion = 2 + index;
        const row = { id: run.id, rowVersion, replica: content };
        board.replicas.applyRows([row], rowVersion, 0);
        router.syncReplicas();
      });
      t.is(router.place(request(STREAM), new Set()).kind, 'refuse');
    });
  });

  group('end', ({ it }) => {
    const pauses = (randomValue: number) => {
      const clock = manualClock();
      return {
        clock,
        pauses: new ReplicaPauses(clock.now, () => randomValue),
      };
    };
    const RUN: Replica = replica('a', { bornMs: 5 });

    it('no earlier than requested, at a different time at each instance', t => {
      [0, 0.5, 1].forEach(randomValue => {
        const { clock, pauses: own } = pauses(randomValue);
        own.add(RUN, 3000);
        clock.advance(2999);
        t.true(own.isPaused(RUN));
        clock.advance(1 + randomValue * MAX_EXTENSION_MS);
        t.false(own.isPaused(RUN));
      });
    });

    it('with the latest of several requested ends', t => {
      const { clock, pauses: own } = pauses(0);
      t.true(own.add(RUN, 3000));
      t.false(own.add(RUN, 100));
      clock.advance(200);
      t.true(own.isPaused(RUN));
    });

    it('with the run that requested them', t => {
      const { pauses: own } = pauses(0);
      own.add(RUN, 3_600_000);
      t.true(own.isPaused(RUN));
      t.false(own.isPaused({ ...RUN, bornMs: 6 }));
    });

    it('without effect if their length is 0', t => {
      const { pauses: own } = pauses(0);
      t.false(own.add(RUN, 0));
      t.false(own.isPaused(RUN));
    });
  });

  group('tell callers to return', ({ it }) => {
    it('at the earliest end if all replicas pause, urgent ones first', t => {
      const { router, request, send, reject, clock } = pausedFixture(
        ['a', 'b'],
        3000,
      );
      reject(send());
      clock.advance(1000);
      reject(send());
      const waitOf = (priority: number): number => {
        const of = request(STREAM, [], { priority });
        const decision = router.place(of, new Set());
        return decision.kind === 'refuse' ? decision.retryAfterMs : 0;
      };
      t.true(waitOf(0) >= 2000 && waitOf(0) <= 2000 + MAX_EXTENSION_MS);
      t.true(waitOf(2) > waitOf(0));
    });
  });

  group('say nothing about', ({ it }) => {
    it('the health of a replica', t => {
      const { send, reject } = pausedFixture(['a'], 3000);
      const attempts = Array.from({ length: 5 }, () => send());
      attempts.forEach(reject);
      const [first] = attempts;
      t.is(first?.load.health.verdict, 'good');
      t.is(first?.load.health.failureShare, 0);
    });
  });
});
