import { describe } from '@jujubecroft/testing';
import type { Replica, RouteId, SoftwareVersion } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import type { GatewayAttempt } from '../../../src/index.js';
import type { GatewayFixture } from '../helpers/gatewayFixture.js';
import {
  configuration,
  gatewayFixture,
  replica,
  route,
} from '../helpers/gatewayFixture.js';

const DRAFT = route({
  id: brand<RouteId>('draft'),
  latencyTargetMs: 800,
  gapTargetMs: 200,
});
const REPLICAS = ['s-1', 's-2', 's-3'].map(name => replica(name));
const SHARED = { id: 'session', tokens: 6000 };
/** Copying tokens at this rate takes a fifth of the time to read them. */
const TRANSFER = { bytesPerToken: 131_072, megabitsPerS: 260_000 };

function fixtureWith(
  transfer: typeof TRANSFER | null,
  replicas: readonly Replica[] = REPLICAS,
): GatewayFixture {
  const fixture = gatewayFixture([DRAFT], replicas);
  const cfg = configuration([DRAFT], 2);
  fixture.router.configure({
    ...cfg,
    services: cfg.services.map(service => ({
      ...service,
      engine: service.engine && { ...service.engine, transfer },
    })),
  });
  return fixture;
}

let serial = 0;

/**
 * Sends twelve requests that share a part; returns the first attempt and the
 * first one at another replica.
 */
function sendUntilMoved({ router, request }: GatewayFixture): {
  readonly first: GatewayAttempt | undefined;
  readonly moved: GatewayAttempt | undefined;
} {
  const attempts = Array.from({ length: 12 }, () => {
    serial += 1;
    const own = { id: `own-${serial}`, tokens: 3000 };
    const asked = request(DRAFT, [SHARED, own]);
    const decision = router.place(asked, new Set());
    return decision.kind === 'send'
      ? router.beginAttempt(asked, decision.placed, 1)
      : null;
  }).flatMap(attempt => attempt ?? []);
  const [first] = attempts;
  return { first, moved: attempts.find(({ load }) => load !== first?.load) };
}

describe('copies of cached prompt parts', ({ it }) => {
  // Guards against reading shared parts again: a burst of requests that share a
  // part fills the replica that caches it. Another replica would have to read the
  // part again, and requests that wait behind it would be late.
  it('are made from the replica that caches them when another one serves the request', t => {
    const { first, moved } = sendUntilMoved(fixtureWith(TRANSFER));
    t.truthy(moved);
    t.is(first?.fetch, null);
    t.is(moved?.fetch?.from.id, first?.load.replica.id);
    t.is(moved?.fetch?.tokens, SHARED.tokens);
    t.is(moved?.unreadTokens, 3000);
  });

  // Guards against a cache that another software version wrote and that the replica
  // can't read.
  it('are not made between software versions, or where these are unknown', t => {
    const versions = ['v1.1', 'v1.2', null];
    const replicas = versions.map((name, index) =>
      replica(`s-${index}`, {
        softwareVersion: name === null ? null : brand<SoftwareVersion>(name),
      }),
    );
    const mixed = sendUntilMoved(fixtureWith(TRANSFER, replicas));
    t.is(mixed.moved?.fetch ?? null, null);
    const unknown = replicas.map(of => ({ ...of, softwareVersion: null }));
    const { moved } = sendUntilMoved(fixtureWith(TRANSFER, unknown));
    t.is(moved?.fetch ?? null, null);
  });

  it('are not made by engines that cannot copy', t => {
    const { moved } = sendUntilMoved(fixtureWith(null));
    t.is(moved?.fetch ?? null, null);
  });

  it('are not made where reading is as fast', t => {
    const slow = { ...TRANSFER, megabitsPerS: 1000 };
    const { moved } = sendUntilMoved(fixtureWith(slow));
    t.is(moved?.fetch ?? null, null);
  });
});
