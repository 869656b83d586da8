import { describe } from '@jujubecroft/testing';

import { excusedMs } from '../../src/gateway/excusedMs.js';
import type { PlacedCandidate } from '../../src/index.js';
import { gatewayFixture, replica, route } from './helpers/gatewayFixture.js';

const LONG = route();

/** Sends prompts of usual size until one is turned away. */
function filled() {
  const fixture = gatewayFixture([LONG], [replica('s-1')]);
  const { router, request } = fixture;
  let serial = 0;
  const place = (tokens: number) => {
    serial += 1;
    const asked = request(LONG, [{ id: `p-${serial}`, tokens }]);
    return { asked, decision: router.place(asked, new Set()) };
  };
  let next = place(10_000);
  while (next.decision.kind === 'send') {
    router.begin(next.asked, next.decision.placed, 1);
    next = place(10_000);
  }
  return { ...fixture, place };
}

describe('excusedMs', ({ it }) => {
  it('is what a prompt takes beyond the usual of its route', t => {
    const { board, request } = gatewayFixture([LONG], [replica('s-1')]);
    board.demand.onOffered(LONG.id, 5000);
    const best = (unreadTokens: number): PlacedCandidate =>
      ({ unreadTokens, ownReadMs: unreadTokens / 50 }) as PlacedCandidate;
    const excused = (tokens: number): number =>
      excusedMs(board, request(LONG), best(tokens));
    t.is(excused(20_000), 300);
    t.is(excused(5000), 0);
    t.is(excused(800), 0);
    t.is(excused(0), 0);
  });

  // Queues stand at the bound, since admission fills them up to it. A prompt of three
  // times the usual size was then refused wherever one of usual size still had room,
  // came back to the same queue and was refused again.
  it('lets a large request in where one of the usual size is', t => {
    const { place, router, board } = filled();
    const last = [...(board.backends.values().next().value?.attempts ?? [])];
    const ended = last.at(-1);
    if (!ended) {
      t.fail('nothing was let in');
      return;
    }
    t.is(place(30_000).decision.kind, 'refuse');
    // One of usual size ends, so that another has room.
    router.onEnded(ended, { kind: 'answered', status: 200 });
    t.is(place(30_000).decision.kind, 'send');
  });

  it('lets nothing in that its caller would not wait for', t => {
    const { place, router, board } = filled();
    const ended = [
      ...(board.backends.values().next().value?.attempts ?? []),
    ].at(-1);
    if (ended) {
      router.onEnded(ended, { kind: 'answered', status: 200 });
    }
    t.is(place(600_000).decision.kind, 'refuse');
  });
});
