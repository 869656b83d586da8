import { describe } from '@jujubecroft/testing';

import { promptSizeAllowanceMs } from '../../src/gateway/promptSizeAllowanceMs.js';
import type { PlacedCandidate } from '../../src/index.js';
import { gatewayFixture, replica, route } from './helpers/gatewayFixture.js';

const LONG = route();

/** Sends prompts of the usual size until one is rejected. */
function fillQueue() {
  const fixture = gatewayFixture([LONG], [replica('s-1')]);
  const { router, request } = fixture;
  let serial = 0;
  const place = (tokens: number) => {
    serial += 1;
    const callerRequest = request(LONG, [{ id: `p-${serial}`, tokens }]);
    return { callerRequest, decision: router.place(callerRequest, new Set()) };
  };
  let next = place(10_000);
  while (next.decision.kind === 'send') {
    router.beginAttempt(next.callerRequest, next.decision.placed, 1);
    next = place(10_000);
  }
  return { ...fixture, place };
}

describe('promptSizeAllowanceMs', ({ it }) => {
  it('is the reading time beyond the usual size of the route', t => {
    const { board, request } = gatewayFixture([LONG], [replica('s-1')]);
    board.demand.onOffered(LONG.id, 5000);
    const best = (unreadTokens: number): PlacedCandidate =>
      ({ unreadTokens, ownReadMs: unreadTokens / 50 }) as PlacedCandidate;
    const allowanceMs = (tokens: number): number =>
      promptSizeAllowanceMs(board, request(LONG), best(tokens));
    t.is(allowanceMs(20_000), 300);
    t.is(allowanceMs(5000), 0);
    t.is(allowanceMs(800), 0);
    t.is(allowanceMs(0), 0);
  });

  // Admission lets queues grow up to its bound. A prompt of three times the usual
  // size was therefore rejected while one of the usual size still fitted. Its
  // caller retried, met the same queue and was rejected again.
  it('makes admission accept a large request where it accepts one of the usual size', t => {
    const { place, router, board } = fillQueue();
    const last = [...(board.backends.values().next().value?.attempts ?? [])];
    const ended = last.at(-1);
    if (!ended) {
      t.fail('no request was admitted');
      return;
    }
    t.is(place(30_000).decision.kind, 'refuse');
    // One prompt of the usual size ends, so that another fits.
    router.onEnded(ended, {
      kind: 'answered',
      status: 200,
      framing: 'selfDelimited',
    });
    t.is(place(30_000).decision.kind, 'send');
  });

  it('does not make admission accept a request that its caller would not wait for', t => {
    const { place, router, board } = fillQueue();
    const ended = [
      ...(board.backends.values().next().value?.attempts ?? []),
    ].at(-1);
    if (ended) {
      router.onEnded(ended, {
        kind: 'answered',
        status: 200,
        framing: 'selfDelimited',
      });
    }
    t.is(place(600_000).decision.kind, 'refuse');
  });
});
