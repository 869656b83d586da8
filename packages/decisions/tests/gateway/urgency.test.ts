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

/** Sends a request as its caller's key says. */
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
  const asked = request(match.route, [{ id: `p-${serial}`, tokens }], {
    priority: match.priority,
  });
  const decision = router.place(asked, new Set());
  return decision.kind === 'send'
    ? router.begin(asked, decision.placed, 1)
    : null;
}

// Price checks and invoices of ten organisations went to replicas at one rank, since
// every organisation had the same priority and it took the place of the routes': price
// checks were read behind invoices and refused for them.
describe('the order of urgency among organisations', ({ it }) => {
  it('is that of the routes where organisations have the same', t => {
    const fixture = fixtureWith([1, 1]);
    const invoice = send(fixture, INVOICE, 'k-0', 500);
    const check = send(fixture, CHECK, 'k-1', 500);
    t.true((check?.rank ?? 9) < (invoice?.rank ?? 0));
  });

  it('is that of the organisations among routes of one priority', t => {
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

  it('is that of the routes where organisations have none', t => {
    const fixture = fixtureWith([null]);
    const invoice = send(fixture, INVOICE, 'k-0', 500);
    const check = send(fixture, CHECK, 'k-0', 500);
    t.true((check?.rank ?? 9) < (invoice?.rank ?? 0));
  });
});

// A price check had 1,350 tokens of its own to be read, and up to 37,338 of others
// before it. It was refused for a wait behind invoices that replicas would let it overtake.
describe('the order of urgency in what is predicted', ({ it }) => {
  it('leaves out less urgent prompts, and counts more urgent ones', t => {
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

// Invoices wait for what overtakes them. Learnt as slowness of the replica, their
// waits made price checks look four times as slow as they were, and refused them.
describe('the order of urgency in what is learnt', ({ it }) => {
  it('keeps waits of less urgent requests from urgent ones', t => {
    const fixture = fixtureWith([1]);
    const [load] = [...fixture.board.backends.values()];
    Array.from({ length: 20 }).forEach(() => {
      load?.onDuration(1, 4000, 1000);
    });
    t.is(load?.slownessFor(0), 1);
    t.true((load?.slownessFor(1) ?? 0) > 3);
  });
});

/** Lets answers of the routes have few pieces, as short ones do. */
function learnLengths({ board }: GatewayFixture): void {
  board.lengths.onEnded(CHECK.id, 5);
  board.lengths.onEnded(INVOICE.id, 70);
}

// Price checks wait no longer than two seconds for a first event, invoices eight. With
// price checks queued for more than that they were refused, and invoices went on
// being let in at the same replicas, since their own wait was still bearable.
describe('the order of urgency in what is let in', ({ it }) => {
  it('refuses a larger, less urgent request where a more urgent one is refused', t => {
    const fixture = fixtureWith([1]);
    learnLengths(fixture);
    const checks = Array.from({ length: 200 }, () =>
      send(fixture, CHECK, 'k-0', 2000),
    );
    t.true(checks.includes(null), 'some are refused');
    t.is(send(fixture, INVOICE, 'k-0', 2000), null);
  });

  it('lets a less urgent request in where a more urgent one would be', t => {
    const fixture = fixtureWith([1]);
    learnLengths(fixture);
    send(fixture, CHECK, 'k-0', 2000);
    t.not(send(fixture, INVOICE, 'k-0', 2000), null);
  });

  // An operator added hundreds of urgent routes that nobody called yet. Their answers were
  // assumed to have forty pieces, too many for the pace of a replica, and invoices were
  // refused for requests that never came.
  it('keeps no room for routes whose answers nobody has seen', t => {
    const fixture = fixtureWith([1]);
    fixture.board.lengths.onEnded(INVOICE.id, 70);
    const [load] = [...fixture.board.backends.values()];
    Array.from({ length: 300 }).forEach(() => {
      load?.onEventInterval(100);
    });
    t.not(send(fixture, INVOICE, 'k-0', 2000), null);
  });

  // Streams of one replica had a piece each 0.7 s, since it read prompts without a
  // break. It was the cheapest all the same, and the only one that was looked at.
  it('refuses nothing that another replica would serve', t => {
    const fixture = fixtureWith([1], ['s-1', 's-2']);
    learnLengths(fixture);
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

// Chats bear pauses of 0.25 s, urgent orders four times that. Replicas were split for
// the chats' sake only: orders found nothing but their own group's replicas, all of
// them full, and were refused while chats that could wait began beside them.
describe('the order of urgency in where requests may go', ({ it }) => {
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

  function usedBy(orders: number, routes: readonly Route[]) {
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

  it('lets urgent requests use the replicas of a less urgent, more delicate group', t => {
    t.is(usedBy(80, [ORDER, CHAT]).size, names.length);
  });

  it('keeps them away from a more delicate group that is more urgent', t => {
    const urgent = { ...CHAT, priority: 0 };
    const patient = { ...ORDER, priority: 1 };
    t.true(usedBy(20, [patient, urgent]).size < names.length);
  });
});
