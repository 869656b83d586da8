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

describe('PeerWorkBook', ({ it }) => {
  // Sixty instances hear of some ten others in time. Chefs' answers stop while
  // invoices are read, since each instance sees a fifth of the demand and splits
  // the replicas for that.
  it('takes the instances that it hears of for all of them', t => {
    const { router, board } = gatewayFixture([CALL], PLAINS);
    const fleet = Array.from({ length: 61 }, (_, index) =>
      brand<InstanceId>(`e-${index}`),
    );
    router.onInstances(fleet);
    fleet.slice(0, 12).forEach(peer => {
      router.onPeerWork(peer, {
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
    const load = board.backends.get(brand<BackendServerId>('p-1'));
    t.is(Math.round(load?.peers.inFlight ?? 0), 120);
    t.is(Math.round(board.demand.total([CALL.id]).tokensPerS), 600);
  });

  // One instance of sixty sends requests to a replica whose queue others have
  // filled: it has not had an answer there for seconds. What the replica told
  // any of them must count, and an old word must not replace a newer one.
  it('knows how full a replica is from what it told others', t => {
    const { router, board } = gatewayFixture([CALL], PLAINS);
    const id = brand<BackendServerId>('p-1');
    const told = (total: number, ageMs: number): void => {
      router.onPeerWork(brand<InstanceId>('e-1'), {
        uses: [],
        demands: [],
        lengths: [],
        reports: [{ id, bornMs: null, total, ageMs }],
      });
    };
    told(9, 200);
    told(2, 700);
    t.is(board.backends.get(id)?.totalInFlight, 9);
    t.deepEqual(router.heardReports, [
      { id, bornMs: null, total: 9, ageMs: 200 },
    ]);
    told(4, 100);
    t.is(board.backends.get(id)?.totalInFlight, 4);
  });
});
