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

/** Sends long prompts until one is turned away; returns how many went through. */
function fill({ router, request }: GatewayFixture): number {
  const takes = (): boolean => {
    const asked = request(LONG, prompt(12_000));
    const decision = router.place(asked, new Set());
    if (decision.kind === 'send') {
      router.begin(asked, decision.placed, 1);
    }
    return decision.kind === 'send';
  };
  return Array.from({ length: 200 }).filter(takes).length;
}

describe('first-event-target', ({ it }) => {
  it('turns away at once what would miss its target, with a time to come back', t => {
    // In a burst invoices queue for longer than anyone waits: all of them are
    // late. Those beyond what can be read in time are told at once.
    const fixture = gatewayFixture([LONG], [replica('s-1')]);
    t.true(fill(fixture) < 30);
    const asked = fixture.request(LONG, prompt(12_000));
    const decision = fixture.router.place(asked, new Set());
    t.is(decision.kind, 'refuse');
    if (decision.kind === 'refuse') {
      t.is(decision.code, 'overloaded');
      t.true(decision.retryAfterMs >= 300);
      t.true(decision.retryAfterMs <= 0.33 * LONG.timeoutMs);
    }
  });

  it('spreads the returns of those that it turned away together', t => {
    const fixture = gatewayFixture([LONG], [replica('s-1')]);
    fill(fixture);
    const times = Array.from({ length: 10 }, () => {
      const asked = fixture.request(LONG, prompt(12_000));
      const decision = fixture.router.place(asked, new Set());
      return decision.kind === 'refuse' ? Math.round(decision.retryAfterMs) : 0;
    });
    t.true(new Set(times).size > 5, times.join(' '));
  });

  it('serves the most urgent and those that came back late rather than not', t => {
    const fixture = gatewayFixture([LONG, URGENT], [replica('s-1')]);
    fill(fixture);
    const { router, request } = fixture;
    const urgent = router.place(request(URGENT, prompt(900)), new Set());
    t.is(urgent.kind, 'send');
    const returned = router.place(
      request(LONG, prompt(900), { cameBack: true }),
      new Set(),
    );
    t.is(returned.kind, 'send');
  });

  // Price checks have three seconds and five events. Beside long invoices an event
  // takes 0.4 s, so that an end after 2.2 s was predicted and one in six was
  // turned away, twice, while invoices went on being let in.
  it('lets an urgent request in whose end is uncertain, not the least urgent', t => {
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
      t.fail('the first request was turned away');
      return;
    }
    const attempt = router.begin(asked, first.placed, 1);
    // Answers of the route have few events, and each takes long.
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

  it('turns away what would start in time and never finish', t => {
    // Streams start within their target and are cut at their time limit: the
    // replica reads prompts without a break, so each token takes fifty
    // milliseconds instead of six.
    const fixture = gatewayFixture([LONG], [replica('s-1')]);
    const { router, request, clock } = fixture;
    const asked = request(LONG, prompt(500));
    const first = router.place(asked, new Set());
    if (first.kind !== 'send') {
      t.fail('the first request was turned away');
      return;
    }
    const attempt = router.begin(asked, first.placed, 1);
    Array.from({ length: 200 }).forEach(() => {
      clock.advance(300);
      router.onBytes(attempt);
    });
    const next = router.place(request(LONG, prompt(500)), new Set());
    t.is(next.kind, 'refuse');
  });
});
