import { describe } from '@jujubecroft/testing';
import type {
  BackendServerId,
  InstanceId,
  OrganisationId,
  RouteId,
} from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import { connectionShare } from '../../src/index.js';
import {
  configuration,
  gatewayFixture,
  PLAIN,
  replica,
  route,
} from './helpers/gatewayFixture.js';

const CALL = route({
  id: brand<RouteId>('call'),
  kind: 'safe',
  maxAttempts: 2,
  latencyTargetMs: 300,
  gapTargetMs: 0,
  shares: [{ service: PLAIN, weight: 1 }],
});
const REPLICAS = ['p-1', 'p-2', 'p-3'].map(name =>
  replica(name, { service: PLAIN, slots: 6 }),
);

describe('GatewayRouter', ({ describe: group, it }) => {
  group('configuration', ({ it: case_ }) => {
    case_('ignores an older version', t => {
      const { router, board } = gatewayFixture([CALL], REPLICAS);
      t.true(router.configure(configuration([], 9)));
      t.false(router.configure(configuration([CALL], 4)));
      t.is(board.table?.cfg.version, 9);
    });

    case_(
      'rejects requests with noRoutingKnown before a configuration is known',
      t => {
        const { router, board } = gatewayFixture([CALL], REPLICAS);
        board.table = null;
        t.deepEqual(router.match('a.example', '/one/x', null), {
          kind: 'refused',
          code: 'noRoutingKnown',
        });
      },
    );

    case_('distinguishes an unknown key from an unknown route', t => {
      const { router } = gatewayFixture([CALL], REPLICAS);
      router.configure({
        ...configuration([CALL], 2),
        organisations: [
          { id: brand<OrganisationId>('o'), keys: ['k'], priority: 3 },
        ],
      });
      const codeOf = (path: string, key: string | null): string => {
        const match = router.match('a.example', path, key);
        return match.kind === 'refused' ? match.code : match.kind;
      };
      t.is(codeOf('/one/x', 'k'), 'matched');
      t.is(codeOf('/one/x', 'other'), 'unknownKey');
      t.is(codeOf('/one/x', null), 'unknownKey');
      t.is(codeOf('/two/x', 'k'), 'unknownRoute');
    });
  });

  group('leaving replicas', ({ it: case_ }) => {
    case_('get no requests as soon as their entry says that they leave', t => {
      const { router, board, request } = gatewayFixture([CALL], REPLICAS);
      const leaving = replica('p-1', { service: PLAIN, leaving: true });
      board.replicas.applyRows(
        [{ id: leaving.id, rowVersion: 5, replica: leaving }],
        5,
        0,
      );
      router.syncReplicas();
      Array.from({ length: 20 }).forEach(() => {
        const decision = router.place(request(CALL), new Set());
        t.is(decision.kind, 'send');
        if (decision.kind === 'send') {
          t.not(decision.placed.load.replica.id, leaving.id);
        }
      });
    });

    // Opening a connection takes up to 400 ms; a request that was placed before
    // the replica began to leave may still be waiting for one.
    case_('get no request that was placed before and has not been sent', t => {
      const { router, board, request } = gatewayFixture([CALL], REPLICAS);
      const callerRequest = request(CALL);
      const decision = router.place(callerRequest, new Set());
      if (decision.kind !== 'send') {
        t.fail('the request was rejected');
        return;
      }
      const attempt = router.beginAttempt(callerRequest, decision.placed, 1);
      t.true(router.mayReceive(attempt));
      const { id } = decision.placed.load.replica;
      const leaving = replica(id, { service: PLAIN, leaving: true });
      board.replicas.applyRows([{ id, rowVersion: 5, replica: leaving }], 5, 0);
      router.syncReplicas();
      t.false(router.mayReceive(attempt));
    });
  });

  group('unresponsive replicas', ({ it: case_ }) => {
    case_('lose their idempotent attempts and get no new requests', t => {
      // Guards against callers that wait until their time limit because a
      // replica has become unresponsive while its entry still exists. The first
      // requests reveal it, and later ones go to other replicas.
      const { router, request, clock } = gatewayFixture([CALL], REPLICAS);
      const callerRequest = request(CALL);
      const decision = router.place(callerRequest, new Set());
      if (decision.kind !== 'send') {
        t.fail('the request was rejected');
        return;
      }
      const attempt = router.beginAttempt(callerRequest, decision.placed, 1);
      t.deepEqual(router.findAttemptsToMove(), []);
      clock.advance(800);
      t.deepEqual(router.findAttemptsToMove(), [attempt]);
      Array.from({ length: 10 }).forEach(() => {
        const next = router.place(request(CALL), new Set());
        t.true(
          next.kind === 'send' && next.placed.load !== decision.placed.load,
        );
      });
    });

    case_('keep attempts that may not run twice', t => {
      const unsafe = route({ ...CALL, kind: 'unsafe' });
      const { router, request, clock } = gatewayFixture([unsafe], REPLICAS);
      const callerRequest = request(unsafe);
      const decision = router.place(callerRequest, new Set());
      if (decision.kind === 'send') {
        router.beginAttempt(callerRequest, decision.placed, 1);
      }
      clock.advance(1500);
      t.deepEqual(router.findAttemptsToMove(), []);
    });

    case_('keep an attempt that could not be moved to another replica', t => {
      // Guards against an early error for the caller: the replica is only slow,
      // and if the attempt were withdrawn, no second one would be allowed.
      const once = route({ ...CALL, maxAttempts: 1 });
      const { router, request, clock } = gatewayFixture([once], REPLICAS);
      const callerRequest = request(once);
      const decision = router.place(callerRequest, new Set());
      if (decision.kind === 'send') {
        router.beginAttempt(callerRequest, decision.placed, 1);
      }
      clock.advance(1500);
      t.deepEqual(router.findAttemptsToMove(), []);
    });

    case_('are still used if there is no other replica', t => {
      const { router, request, clock } = gatewayFixture(
        [CALL],
        REPLICAS.slice(0, 1),
      );
      const callerRequest = request(CALL);
      const decision = router.place(callerRequest, new Set());
      if (decision.kind === 'send') {
        router.beginAttempt(callerRequest, decision.placed, 1);
      }
      clock.advance(1500);
      t.is(router.place(request(CALL), new Set()).kind, 'send');
    });
  });

  group('replicas that lose answers', ({ it: case_ }) => {
    const UNSAFE = route({ ...CALL, kind: 'unsafe', maxAttempts: 1 });

    /** Sends requests to one replica, which answers all but the first few. */
    const losingAnswers = (lost: number) => {
      const fixture = gatewayFixture([UNSAFE], REPLICAS.slice(0, 2));
      const { router, request, clock } = fixture;
      const other = new Set([brand<BackendServerId>('p-2')]);
      const sent = Array.from({ length: lost + 4 }, (_, index) => {
        clock.advance(20);
        const callerRequest = request(UNSAFE);
        const decision = router.place(callerRequest, other);
        if (decision.kind !== 'send') {
          throw new Error('the request was rejected');
        }
        const attempt = router.beginAttempt(callerRequest, decision.placed, 1);
        if (index >= lost) {
          clock.advance(20);
          router.onBytes(attempt);
          router.onEnded(attempt, {
            kind: 'answered',
            status: 200,
            framing: 'selfDelimited',
          });
        }
        return attempt;
      });
      return { ...fixture, sent };
    };

    case_('get no new requests even though they answer others', t => {
      // Guards against a replica that runs requests but loses some answers,
      // whose callers leave after eight seconds. It answers later requests, so
      // it looks responsive and would keep getting more.
      const { router, request, clock } = losingAnswers(2);
      clock.advance(1000);
      Array.from({ length: 10 }).forEach(() => {
        const decision = router.place(request(UNSAFE), new Set());
        t.true(
          decision.kind === 'send' &&
            (decision.placed.load.replica.id as string) === 'p-2',
        );
      });
    });

    case_(
      'have a failure recorded when the caller leaves, unlike other replicas',
      t => {
        const { router, clock, sent } = losingAnswers(3);
        clock.advance(1000);
        const [first] = sent;
        const before = first?.load.health.failureShare ?? 1;
        if (first) {
          router.onEnded(first, { kind: 'withdrawn', reason: 'callerLeft' });
        }
        t.true((first?.load.health.failureShare ?? 0) > before);
      },
    );

    case_('are not avoided for one slow answer', t => {
      const { router, request, clock } = losingAnswers(1);
      clock.advance(650);
      const isSentToFirst = (): boolean => {
        const decision = router.place(request(UNSAFE), new Set());
        return (
          decision.kind === 'send' &&
          (decision.placed.load.replica.id as string) === 'p-1'
        );
      };
      t.true(Array.from({ length: 20 }).some(isSentToFirst));
    });
  });

  it('divides the connections of a replica among the instances', t => {
    const { board, request, router } = gatewayFixture([CALL], REPLICAS);
    router.onInstances(['a', 'b', 'c', 'd'].map(id => brand<InstanceId>(id)));
    t.is(connectionShare(board, request(CALL)), 19);
  });

  // Guards against retries of earlier requests that open more connections than replicas take.
  it('applies a new limit of connections to requests of an earlier configuration', t => {
    const { board, request, router } = gatewayFixture([CALL], REPLICAS);
    const earlier = request(CALL);
    const shrunk = configuration([CALL], 2);
    router.configure({
      ...shrunk,
      services: shrunk.services.map(each => ({ ...each, maxConnections: 10 })),
    });
    t.is(connectionShare(board, earlier), 8);
    router.configure({ ...shrunk, version: 3, services: [] });
    t.is(connectionShare(board, earlier), 76);
  });

  it("detects a caller's retry by the time that it has left", t => {
    const { router } = gatewayFixture([CALL], REPLICAS);
    t.false(router.isCallerRetry(CALL, 4000));
    t.false(router.isCallerRetry(CALL, 3990));
    t.true(router.isCallerRetry(CALL, 2900));
  });

  it('never sends a request to the same replica twice', t => {
    const { router, request } = gatewayFixture([CALL], REPLICAS);
    const tried = new Set(['p-1', 'p-2'].map(id => brand<BackendServerId>(id)));
    const decision = router.place(request(CALL), tried);
    t.true(
      decision.kind === 'send' &&
        decision.placed.load.replica.id === REPLICAS[2]?.id,
    );
  });
});
