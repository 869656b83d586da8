import { describe } from '@jujubecroft/testing';
import type { Replica } from '@jujubecroft/types';

import { AnnouncedLeaves } from '../../src/gateway/AnnouncedLeaves.js';
import { gatewayFixture, replica, route } from './helpers/gatewayFixture.js';

const STREAM = route();

describe('a replica that announced its leave to this instance', ({ it }) => {
  const announced = (run: Replica) => {
    const fixture = gatewayFixture([STREAM], [run]);
    const { router, request } = fixture;
    const decision = router.place(request(STREAM), new Set());
    if (decision.kind !== 'send') {
      throw new Error('the request was refused');
    }
    const attempt = router.beginAttempt(request(STREAM), decision.placed, 1);
    const isFirst = router.onLeaveAnnounced(attempt);
    const write = (row: Replica, rowVersion: number): void => {
      fixture.board.replicas.applyRows(
        [{ id: row.id, rowVersion, replica: row }],
        rowVersion,
        0,
      );
      router.syncReplicas();
    };
    const isPlaced = (): boolean =>
      router.place(request(STREAM), new Set()).kind === 'send';
    return { ...fixture, attempt, isFirst, write, isPlaced };
  };

  it('gets neither new requests nor those that wait for a connection', t => {
    const { router, attempt, isFirst, isPlaced } = announced(replica('a'));
    t.true(isFirst);
    t.false(isPlaced());
    t.false(router.mayReceive(attempt));
    t.false(router.onLeaveAnnounced(attempt));
  });

  it('stays out when its entry is renewed, removed and back', t => {
    const run = replica('a', { bornMs: 5 });
    const { board, write, isPlaced } = announced(run);
    write({ ...run, slots: 32 }, 2);
    t.false(isPlaced());
    board.replicas.applyRows(
      [{ id: run.id, rowVersion: 3, replica: null }],
      3,
      0,
    );
    write(run, 4);
    t.false(isPlaced());
  });

  it('is used again once it has restarted', t => {
    const run = replica('a', { bornMs: 5 });
    const { write, isPlaced } = announced(run);
    write({ ...run, bornMs: 6 }, 2);
    t.true(isPlaced());
  });

  it('is listed to other instances as the store lists it', t => {
    const { board } = announced(replica('a'));
    const [record] = board.replicas.changesSince(0).records;
    t.is(record?.replica?.leaving, false);
  });
});

describe('AnnouncedLeaves', ({ it }) => {
  it('keeps a bounded number, the newest', t => {
    const leaves = new AnnouncedLeaves(() => 0);
    Array.from({ length: 1001 }, (_, index) =>
      leaves.add(replica(`r-${index}`)),
    );
    t.false(leaves.has(replica('r-0')));
    t.true(leaves.has(replica('r-1')));
    t.true(leaves.has(replica('r-1000')));
  });
});
