import { describe } from '@jujubecroft/testing';
import type { BackendServerId, InstanceId, RouteId } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import {
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
const PLAINS = ['p-1', 'p-2', 'p-3'].map(name =>
  replica(name, { service: PLAIN, slots: 6 }),
);

describe('PeerLoadTracker', ({ it }) => {
  // In a fleet of sixty, an instance has recent reports of about ten others.
  // Without scaling, each instance saw a fifth of the demand and split the
  // replicas for that; live answers then stalled while invoices were read.
  it('scales the reported work up to all instances', t => {
    const { router, board } = gatewayFixture([CALL], PLAINS);
    const fleet = Array.from({ length: 61 }, (_, index) =>
      brand<InstanceId>(`e-${index}`),
    );
    router.onInstances(fleet);
    fleet.slice(0, 12).forEach(peer => {
      router.onPeerUpdate(peer, {
        uses: [
          {
            id: brand<BackendServerId>('p-1'),
            bornMs: null,
            inFlight: 2,
            unreadByRank: [0, 100],
          },
        ],
        demands: [{ route: CALL.id, tokensPerS: 10, inFlight: 1 }],
        lengths: [],
        reports: [],
      });
    });
    router.refreshPeerLoad();
    const load = board.backends.get(brand<BackendServerId>('p-1'));
    t.is(Math.round(load?.peers.inFlight ?? 0), 120);
    t.is(Math.round(board.demand.total([CALL.id]).tokensPerS), 600);
  });

  // An instance of sixty may not have had an answer from a replica for seconds,
  // and would send requests there although others have filled its queue. A
  // report that any instance received must count, and an older report must not
  // replace a newer one.
  it('uses the newest load report that any instance received', t => {
    const { router, board } = gatewayFixture([CALL], PLAINS);
    const id = brand<BackendServerId>('p-1');
    const relay = (total: number, ageMs: number): void => {
      router.onPeerUpdate(brand<InstanceId>('e-1'), {
        uses: [],
        demands: [],
        lengths: [],
        reports: [{ id, bornMs: null, total, ageMs }],
      });
    };
    relay(9, 200);
    relay(2, 700);
    t.is(board.backends.get(id)?.totalInFlight, 9);
    t.deepEqual(router.loadReports, [
      { id, bornMs: null, total: 9, ageMs: 200 },
    ]);
    relay(4, 100);
    t.is(board.backends.get(id)?.totalInFlight, 4);
  });
});
