import { describe } from '@jujubecroft/testing';
import type { RouteId } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import type { GatewayAttempt } from '../../../src/index.js';
import type { GatewayFixture } from '../helpers/gatewayFixture.js';
import { gatewayFixture, replica, route } from '../helpers/gatewayFixture.js';

const LIVE = route({
  id: brand<RouteId>('live'),
  prefix: '/live/',
  latencyTargetMs: 300,
  gapTargetMs: 250,
  priority: 0,
  maxAttempts: 2,
  resumable: true,
});
const LONG = route({ id: brand<RouteId>('long'), prefix: '/long/' });
const REPLICAS = Array.from({ length: 8 }, (_, index) => replica(`s-${index}`));

let serial = 0;
const parts = (shared: string, sharedTokens: number, ownTokens: number) => {
  serial += 1;
  return [
    { id: shared, tokens: sharedTokens },
    { id: `own-${serial}`, tokens: ownTokens },
  ];
};

function send(
  { router, request }: GatewayFixture,
  of: typeof LIVE,
  prompt: ReturnType<typeof parts>,
): GatewayAttempt | null {
  const asked = request(of, prompt);
  const decision = router.place(asked, new Set());
  return decision.kind === 'send'
    ? router.beginAttempt(asked, decision.placed, 1)
    : null;
}

const serverOf = (attempt: GatewayAttempt | null): string | undefined =>
  attempt?.load.replica.id;

describe('tolerance-split', ({ it }) => {
  it('never places a long prompt on a replica that runs live streams', t => {
    // Guards against live streams that pause for a second because a long prompt is
    // read at the same replica between their tokens. Both kinds arrive mixed, in a
    // burst.
    const fixture = gatewayFixture([LIVE, LONG], REPLICAS);
    const placed = Array.from({ length: 60 }, (_, index) => {
      fixture.clock.advance(20);
      const isLive = index % 2 === 0;
      const attempt = isLive
        ? send(fixture, LIVE, parts('l', 200, 600))
        : send(fixture, LONG, parts(`i-${index}`, 500, 4000));
      if (attempt) {
        fixture.router.onBytes(attempt);
      }
      return { kind: isLive ? 'live' : 'long', at: serverOf(attempt) };
    });
    const at = (kind: string) =>
      new Set(
        placed.filter(entry => entry.kind === kind).map(entry => entry.at),
      );
    at('long').forEach(server => {
      t.false(at('live').has(server), String(server));
    });
  });

  it('uses more replicas for live streams when more of them run', t => {
    // Guards against a burst of live streams that fills one replica with over 60 of
    // them: its decoding steps slow down and new streams wait for a slot, while
    // other replicas are half empty.
    const fixture = gatewayFixture([LIVE, LONG], REPLICAS);
    const attempts = Array.from({ length: 120 }, () => {
      fixture.clock.advance(15);
      const attempt = send(fixture, LIVE, parts('l', 200, 600));
      if (attempt) {
        fixture.clock.advance(5);
        fixture.router.onBytes(attempt);
      }
      return serverOf(attempt);
    });
    const counts = [...new Set(attempts)].map(
      server => attempts.filter(other => other === server).length,
    );
    t.true(Math.max(...counts) < 50, counts.join(' '));
  });

  it('counts the requests of instances that it receives no messages from', t => {
    // Guards against instances that are cut off from each other and all fill the
    // same replica. The replica's answers report how many requests it really has.
    const fixture = gatewayFixture([LIVE], REPLICAS.slice(0, 2));
    const first = send(fixture, LIVE, parts('l', 200, 600));
    t.truthy(first);
    if (first) {
      fixture.router.onReported(first, { running: 60, waiting: 5, slots: 64 });
      fixture.router.onBytes(first);
      const second = send(fixture, LIVE, parts('l', 200, 600));
      t.not(serverOf(second), serverOf(first));
    }
  });

  it('places requests that share a long part on one replica while it has room', t => {
    const fixture = gatewayFixture([LONG], REPLICAS);
    const servers = Array.from({ length: 4 }, () => {
      fixture.clock.advance(200);
      const attempt = send(fixture, LONG, parts('checklist', 5000, 300));
      if (attempt) {
        fixture.router.onBytes(attempt);
      }
      return serverOf(attempt);
    });
    t.is(new Set(servers).size, 1);
  });
});
