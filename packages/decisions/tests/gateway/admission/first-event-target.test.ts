import { describe } from '@jujubecroft/testing';
import type { RouteId } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import type { GatewayFixture } from '../helpers/gatewayFixture.js';
import { gatewayFixture, replica, route } from '../helpers/gatewayFixture.js';

const LONG = route({ maxAttempts: 1 });
const URGENT = route({ priority: 0 });

let serial = 0;
const prompt = (tokens: number) => {
  serial += 1;
  return [{ id: `p-${serial}`, tokens }];
};

/** Sends 200 long prompts; returns how many were admitted. */
function fillReplica({ router, request }: GatewayFixture): number {
  const isAdmitted = (): boolean => {
    const asked = request(LONG, prompt(12_000));
    const decision = router.place(asked, new Set());
    if (decision.kind === 'send') {
      router.beginAttempt(asked, decision.placed, 1);
    }
    return decision.kind === 'send';
  };
  return Array.from({ length: 200 }).filter(isAdmitted).length;
}

describe('first-event-target', ({ it }) => {
  it('refuses a request at once that would miss its target, with a retry-after', t => {
    // Guards against a burst of long prompts that queue for longer than any
    // caller waits, so that all of them are late. Those that can't be read in
    // time are refused at once.
    const fixture = gatewayFixture([LONG], [replica('s-1')]);
    t.true(fillReplica(fixture) < 30);
    const asked = fixture.request(LONG, prompt(12_000));
    const decision = fixture.router.place(asked, new Set());
    t.is(decision.kind, 'refuse');
    if (decision.kind === 'refuse') {
      t.is(decision.code, 'overloaded');
      t.true(decision.retryAfterMs >= 300);
      t.true(decision.retryAfterMs <= 0.33 * LONG.timeoutMs);
    }
  });

  it('spreads the retries of requests that were refused together', t => {
    const fixture = gatewayFixture([LONG], [replica('s-1')]);
    fillReplica(fixture);
    const times = Array.from({ length: 10 }, () => {
      const asked = fixture.request(LONG, prompt(12_000));
      const decision = fixture.router.place(asked, new Set());
      return decision.kind === 'refuse' ? Math.round(decision.retryAfterMs) : 0;
    });
    t.true(new Set(times).size > 5, times.join(' '));
  });

  it('serves the most urgent and retried requests late rather than refusing them', t => {
    const fixture = gatewayFixture([LONG, URGENT], [replica('s-1')]);
    fillReplica(fixture);
    const { router, request } = fixture;
    const urgent = router.place(request(URGENT, prompt(900)), new Set());
    t.is(urgent.kind, 'send');
    const retried = router.place(
      request(LONG, prompt(900), { isCallerRetry: true }),
      new Set(),
    );
    t.is(retried.kind, 'send');
  });

  // Guards against refusing short urgent requests beside long prompts. They had a
  // time limit of three seconds and answers of five events. An event took 0.4 s,
  // so that the end was predicted after 2.2 s and one request in six was refused
  // twice, while long prompts were still admitted.
  it('admits an urgent request whose end is uncertain, but not a least urgent one', t => {
    const CHECK = route({ id: brand<RouteId>('check'), timeoutMs: 3000 });
    const INVOICE = route({
      id: brand<RouteId>('invoice'),
      priority: 2,
      timeoutMs: 3000,
    });
    const fixture = gatewayFixture([CHECK, INVOICE], [replica('s-1')]);
    const { router, request, board, clock } = fixture;
    const asked = request(CHECK, prompt(500));
    const first = router.place(asked, new Set());
    if (first.kind !== 'send') {
      t.fail('the first request was refused');
      return;
    }
    const attempt = router.beginAttempt(asked, first.placed, 1);
    // Answers of both routes have five events, and each event takes 440 ms.
    [CHECK, INVOICE].forEach(({ id }) => {
      Array.from({ length: 300 }).forEach(() => {
        board.lengths.onEnded(id, 5);
      });
    });
    Array.from({ length: 200 }).forEach(() => {
      clock.advance(440);
      router.onBytes(attempt);
    });
    const decide = (of: typeof CHECK): string =>
      router.place(request(of, prompt(500)), new Set()).kind;
    t.is(decide(CHECK), 'send');
    t.is(decide(INVOICE), 'refuse');
  });

  it('refuses a request that would start in time but not end in time', t => {
    // Guards against streams that start within their target but are cut at their
    // time limit: the replica reads prompts without a break, so that each token
    // takes 50 ms instead of 6 ms.
    const fixture = gatewayFixture([LONG], [replica('s-1')]);
    const { router, request, clock } = fixture;
    const asked = request(LONG, prompt(500));
    const first = router.place(asked, new Set());
    if (first.kind !== 'send') {
      t.fail('the first request was refused');
      return;
    }
    const attempt = router.beginAttempt(asked, first.placed, 1);
    Array.from({ length: 200 }).forEach(() => {
      clock.advance(300);
      router.onBytes(attempt);
    });
    const next = router.place(request(LONG, prompt(500)), new Set());
    t.is(next.kind, 'refuse');
  });
});
