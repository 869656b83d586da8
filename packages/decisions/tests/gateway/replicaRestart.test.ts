import { describe } from '@jujubecroft/testing';
import type { InstanceId, SoftwareVersion } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import type { BackendLoad, GatewayAttempt } from '../../src/index.js';
import { prefixesOf } from '../../src/gateway/PromptCacheEstimate.js';
import type { GatewayFixture } from './helpers/gatewayFixture.js';
import { gatewayFixture, replica, route } from './helpers/gatewayFixture.js';

describe('GatewayRouter, when a replica restarts under the same id', ({
  it,
}) => {
  const STREAM = route();
  const PARTS = [
    { id: 'shared', tokens: 6000 },
    { id: 'own', tokens: 500 },
  ];
  const first = replica('p-1', { bornMs: 10 });
  const again = replica('p-1', { bornMs: 20 });
  const restart = ({ board, router }: GatewayFixture): void => {
    const rows = [{ id: again.id, rowVersion: 2, replica: again }];
    board.replicas.applyRows(rows, 2, 0);
    router.syncReplicas();
  };
  const loadOf = ({ board }: GatewayFixture): BackendLoad => {
    const load = board.backends.get(first.id);
    if (!load) {
      throw new Error('the replica is not known');
    }
    return load;
  };
  const send = (fixture: GatewayFixture): GatewayAttempt => {
    const { router, request } = fixture;
    const decision = router.place(request(STREAM, PARTS), new Set());
    if (decision.kind !== 'send') {
      throw new Error('the request was refused');
    }
    return router.beginAttempt(request(STREAM, PARTS), decision.placed, 1);
  };

  // An engine may crash and be back within a second under the same id. Its
  // cache is then empty, and the failures of the crash say nothing about the
  // new run.
  it('resets the cache, load and failures of the replica', t => {
    const fixture = gatewayFixture([STREAM], [first]);
    const attempt = send(fixture);
    fixture.router.onReported(attempt, { running: 60, waiting: 9, slots: 64 });
    restart(fixture);
    ['one', 'two', 'three'].forEach(reason => {
      fixture.router.onEnded(attempt, { kind: 'lost', reason });
    });
    const load = loadOf(fixture);
    t.is(load.cacheEstimate.cachedTokens(prefixesOf(PARTS)), 0);
    t.is(load.totalInFlight, 0);
    t.is(load.health.verdict, 'good');
    t.is(load.latencyRatioFor(0), 1);
  });

  // Guards against the cache and the attempts of a process that another version has
  // replaced, where entries state no start.
  it('is recognised by its software version where its start is unknown', t => {
    const before = replica('p-1');
    const after = replica('p-1', {
      softwareVersion: brand<SoftwareVersion>('v2'),
    });
    const fixture = gatewayFixture([STREAM], [before]);
    const { board, router } = fixture;
    const attempt = send(fixture);
    const rows = [{ id: after.id, rowVersion: 2, replica: after }];
    t.is(board.replicas.applyRows(rows, 2, 0)[0]?.kind, 'restarted');
    router.syncReplicas();
    const { cacheEstimate } = loadOf(fixture);
    t.is(cacheEstimate.cachedTokens(prefixesOf(PARTS)), 0);
    t.false(router.mayReceive(attempt));
    t.deepEqual(router.takeOrphanedAttempts(), [attempt]);
  });

  // A crash may leave the connections of the previous run open. Its requests
  // would wait until their time limit.
  it('returns the attempts on the previous run exactly once', t => {
    const fixture = gatewayFixture([STREAM], [first]);
    const attempt = send(fixture);
    t.deepEqual(fixture.router.takeOrphanedAttempts(), []);
    restart(fixture);
    t.deepEqual(fixture.router.takeOrphanedAttempts(), [attempt]);
    t.deepEqual(fixture.router.takeOrphanedAttempts(), []);
  });

  // Guards against answers that are cut while they arrive, since the entry of their replica
  // was overwritten. A run that has ended falls silent.
  it('returns an attempt that is being answered only once it falls silent', t => {
    const fixture = gatewayFixture([STREAM], [first]);
    const { router, clock } = fixture;
    const attempt = send(fixture);
    router.onBytes(attempt);
    restart(fixture);
    clock.advance(500);
    t.deepEqual(router.takeOrphanedAttempts(), []);
    router.onBytes(attempt);
    clock.advance(600);
    t.deepEqual(router.takeOrphanedAttempts(), []);
    clock.advance(200);
    t.deepEqual(router.takeOrphanedAttempts(), [attempt]);
    t.deepEqual(router.takeOrphanedAttempts(), []);
  });

  // A peer that does not know of the restart reports the load of the previous
  // run.
  it('ignores reports of other instances on the previous run', t => {
    const fixture = gatewayFixture([STREAM], [first]);
    restart(fixture);
    const previousRun = { id: first.id, bornMs: 10 };
    fixture.router.onPeerUpdate(brand<InstanceId>('e-1'), {
      uses: [{ ...previousRun, inFlight: 30, unreadByRank: [0, 90_000, 9] }],
      demands: [],
      lengths: [],
      reports: [{ ...previousRun, total: 70, ageMs: 10 }],
    });
    fixture.router.refreshPeerLoad();
    t.is(loadOf(fixture).totalInFlight, 0);
    t.is(loadOf(fixture).unreadTokensAhead(9), 0);
  });
});
