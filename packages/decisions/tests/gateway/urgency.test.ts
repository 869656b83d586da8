import { describe } from '@jujubecroft/testing';
import type { OrganisationId, Route, RouteId } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import type { GatewayFixture } from './helpers/gatewayFixture.js';
import {
  configuration,
  gatewayFixture,
  replica,
  route,
} from './helpers/gatewayFixture.js';

const CHECK = route({
  id: brand<RouteId>('check'),
  prefix: '/check/',
  priority: 1,
  timeoutMs: 3000,
  latencyTargetMs: 500,
  gapTargetMs: 400,
});
const INVOICE = route({
  id: brand<RouteId>('invoice'),
  prefix: '/invoice/',
  priority: 2,
});

function fixtureWith(
  priorities: readonly (number | null)[],
  replicas: readonly string[] = ['s-1'],
): GatewayFixture {
  const fixture = gatewayFixture(
    [CHECK, INVOICE],
    replicas.map(name => replica(name)),
  );
  fixture.router.configure({
    ...configuration([CHECK, INVOICE], 2),
    organisations: priorities.map((priority, index) => ({
      id: brand<OrganisationId>(`o-${index}`),
      keys: [`k-${index}`],
      priority,
    })),
  });
  return fixture;
}

let serial = 0;

/** Sends a request with a caller's key; returns null if it is rejected. */
function send(
  { router, request }: GatewayFixture,
  { host, prefix }: Route,
  key: string,
  tokens: number,
) {
  const match = router.match(host, `${prefix}x`, key);
  if (match.kind === 'refused') {
    throw new Error(match.code);
  }
  serial += 1;
  const callerRequest = request(match.route, [{ id: `p-${serial}`, tokens }], {
    priority: match.priority,
  });
  const decision = router.place(callerRequest, new Set());
  return decision.kind === 'send'
    ? router.beginAttempt(callerRequest, decision.placed, 1)
    : null;
}

// Guards against organisations' priorities replacing those of routes: when ten
// organisations had the same priority, price checks and invoices went to
// replicas at one rank, and price checks were rejected because they would be
// read after invoices.
describe('the priority order among organisations', ({ it }) => {
  it('follows the routes if organisations have the same priority', t => {
    const fixture = fixtureWith([1, 1]);
    const invoice = send(fixture, INVOICE, 'k-0', 500);
    const check = send(fixture, CHECK, 'k-1', 500);
    t.true((check?.rank ?? 9) < (invoice?.rank ?? 0));
  });

  it('follows the organisations among routes of one priority', t => {
    const fixture = fixtureWith([0, 1]);
    const ranks = [
      send(fixture, CHECK, 'k-0', 100),
      send(fixture, CHECK, 'k-1', 100),
      send(fixture, INVOICE, 'k-0', 100),
      send(fixture, INVOICE, 'k-1', 100),
    ].map(attempt => attempt?.rank ?? NaN);
    t.deepEqual(
      ranks,
      [...new Set(ranks)].sort((a, b) => a - b),
    );
  });

  it('follows the routes if organisations have no priority', t => {
    const fixture = fixtureWith([null]);
    const invoice = send(fixture, INVOICE, 'k-0', 500);
    const check = send(fixture, CHECK, 'k-0', 500);
    t.true((check?.rank ?? 9) < (invoice?.rank ?? 0));
  });
});

// A price check had 1,350 tokens to be read, with up to 37,338 tokens of
// invoices counted before it. It was rejected for that wait, although replicas
// would have let it overtake the invoices.
describe('the priority order in predictions', ({ it }) => {
  it('counts more urgent prompts ahead of a request, but not less urgent ones', t => {
    const fixture = fixtureWith([1]);
    Array.from({ length: 8 }).forEach(() => {
      send(fixture, INVOICE, 'k-0', 12_000);
    });
    const check = send(fixture, CHECK, 'k-0', 1000);
    t.is(check?.tokensAhead, 1000);
    const invoice = send(fixture, INVOICE, 'k-0', 100);
    t.is(invoice?.tokensAhead, 8 * 12_000 + 1000 + 100);
  });
});

// Invoices wait for requests that overtake them. When these waits counted
// towards one latency ratio of the replica, price checks seemed four times as
// slow as they were and were rejected.
describe('the priority order in latency estimates', ({ it }) => {
  it('keeps the waits of less urgent requests out of those of urgent ones', t => {
    const fixture = fixtureWith([1]);
    const [load] = [...fixture.board.backends.values()];
    Array.from({ length: 20 }).forEach(() => {
      load?.onDuration(1, 4000, 1000);
    });
    t.is(load?.latencyRatioFor(0), 1);
    t.true((load?.latencyRatioFor(1) ?? 0) > 3);
  });
});

/** Records answers of few pieces for price checks and of many for invoices. */
function recordLengths({ board }: GatewayFixture): void {
  board.lengths.onEnded(CHECK.id, 5);
  board.lengths.onEnded(INVOICE.id, 70);
}

// Callers wait up to two seconds for the first event of a price check, and
// eight for that of an invoice. When price checks were queued for longer,
// further ones were rejected, while invoices were still admitted to the same
// replicas because their own wait was acceptable.
describe('the priority order in admission', ({ it }) => {
  it('rejects a larger, less urgent request where a more urgent one is rejected', t => {
    const fixture = fixtureWith([1]);
    recordLengths(fixture);
    const checks = Array.from({ length: 200 }, () =>
      send(fixture, CHECK, 'k-0', 2000),
    );
    t.true(checks.includes(null), 'some price checks are rejected');
    t.is(send(fixture, INVOICE, 'k-0', 2000), null);
  });

  it('admits a less urgent request where a more urgent one would be admitted', t => {
    const fixture = fixtureWith([1]);
    recordLengths(fixture);
    send(fixture, CHECK, 'k-0', 2000);
    t.not(send(fixture, INVOICE, 'k-0', 2000), null);
  });

  // When an operator added hundreds of urgent routes that nobody called yet,
  // their answers were assumed to have forty pieces, too many for the event
  // interval of a replica, and invoices were rejected in favour of requests
  // that never came.
  it('reserves no capacity for routes without any observed answer', t => {
    const fixture = fixtureWith([1]);
    fixture.board.lengths.onEnded(INVOICE.id, 70);
    const [load] = [...fixture.board.backends.values()];
    Array.from({ length: 300 }).forEach(() => {
      load?.onEventInterval(100);
    });
    t.not(send(fixture, INVOICE, 'k-0', 2000), null);
  });

  // One replica delivered an event per stream every 0.7 s because it read
  // prompts without a break. It was the cheapest nevertheless, and the only one
  // considered.
  it('rejects no request that another replica would serve', t => {
    const fixture = fixtureWith([1], ['s-1', 's-2']);
    recordLengths(fixture);
    const { board } = fixture;
    const [slow, busy] = [...board.backends.values()];
    if (!slow || !busy) {
      t.fail('the fixture has two replicas');
      return;
    }
    Array.from({ length: 300 }).forEach(() => {
      slow.onEventInterval(700);
    });
    busy.peers = { inFlight: 0, unreadByRank: [0, 20_000] };
    const check = send(fixture, CHECK, 'k-0', 500);
    t.is(check?.load, busy);
  });
});

// Chats tolerate gaps of 0.25 s, urgent orders four times that. Replicas were
// split only for the sake of chats: orders could use only their own group's
// replicas, all of them full, and were rejected while less urgent chats started
// on the others.
describe('the priority order in the split of replicas', ({ it }) => {
  const ORDER = route({
    id: brand<RouteId>('order'),
    prefix: '/order/',
    priority: 0,
    timeoutMs: 3000,
  });
  const CHAT = route({
    id: brand<RouteId>('chat'),
    prefix: '/chat/',
    priority: 1,
    latencyTargetMs: 300,
    gapTargetMs: 250,
  });
  const names = ['s-1', 's-2', 's-3', 's-4'];

  function replicasUsedBy(orders: number, routes: readonly Route[]) {
    const fixture = gatewayFixture(
      routes,
      names.map(name => replica(name)),
    );
    const attempts = Array.from({ length: orders }, () =>
      send(fixture, ORDER, '', 4000),
    );
    const used = attempts.flatMap(attempt => attempt?.load.replica.id ?? []);
    return new Set(used);
  }

  it('lets urgent requests use replicas of a less urgent, more delay-sensitive group', t => {
    t.is(replicasUsedBy(80, [ORDER, CHAT]).size, names.length);
  });

  it('keeps requests off replicas of a more urgent, more delay-sensitive group', t => {
    const urgent = { ...CHAT, priority: 0 };
    const tolerant = { ...ORDER, priority: 1 };
    t.true(replicasUsedBy(20, [tolerant, urgent]).size < names.length);
  });
});
