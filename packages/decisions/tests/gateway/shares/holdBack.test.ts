import { describe } from '@jujubecroft/testing';
import type { BackendServerId, OrganisationId } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import type { PlacementDecision } from '../../../src/index.js';
import { gatewayFixture, replica, route } from '../helpers/gatewayFixture.js';

const SURGING = brand<OrganisationId>('a');
const NAMES = ['a', 'a', 'a', 'a', 'a', 'a', 'b', 'c', 'd'];
const WORK = 100;

/**
 * Places requests of an organisation that is far above its share of a short
 * capacity.
 */
function placeSurge(
  dividesCapacity: boolean,
  timeLeftMs: number,
  tried: ReadonlySet<BackendServerId> = new Set(),
): readonly PlacementDecision[] {
  const of = route();
  const { board, clock, router, request } = gatewayFixture(
    [of],
    [replica('s-1'), replica('s-2')],
    { dividesCapacity },
  );
  Array.from({ length: 20 }).forEach(() => {
    clock.advance(50);
    NAMES.forEach((name, index) => {
      const organisation = brand<OrganisationId>(name);
      const offered = request(of, [], { organisation });
      board.shares?.onOffered(offered, WORK);
      board.shares?.onSentOnTime(offered, index < 4 ? WORK : 0);
    });
  });
  board.shares?.onShort(request(of, [], { organisation: SURGING }));
  clock.advance(100);
  return Array.from({ length: 40 }, () =>
    router.place(
      request(of, [], {
        organisation: SURGING,
        deadlineMs: clock.now() + timeLeftMs,
      }),
      tried,
    ),
  );
}

function heldBack(decisions: readonly PlacementDecision[]) {
  return decisions.flatMap(decision =>
    decision.kind === 'refuse' && decision.share ? [decision] : [],
  );
}

describe('holdBack', ({ it }) => {
  // Callers that are asked to wait longer than a third of their time don't
  // comply.
  it('asks callers to retry within a third of the time left', t => {
    [600, 3000, 15_000].forEach(timeLeftMs => {
      const held = heldBack(placeSurge(true, timeLeftMs));
      t.true(held.length > 0);
      held.forEach(({ code, retryAfterMs }) => {
        t.is(code, 'overloaded');
        t.true(retryAfterMs > 0 && retryAfterMs <= timeLeftMs / 3);
      });
    });
  });

  // Guards against a refusal, which promises that the request has not run, of
  // one that a replica may have run.
  it('does not hold back a request that was sent before', t => {
    const tried = new Set([brand<BackendServerId>('s-1')]);
    const decisions = placeSurge(true, 15_000, tried);
    t.true(decisions.every(({ kind }) => kind === 'send'));
  });

  it('holds back none where capacity is not divided', t => {
    t.deepEqual(heldBack(placeSurge(false, 15_000)), []);
  });
});
