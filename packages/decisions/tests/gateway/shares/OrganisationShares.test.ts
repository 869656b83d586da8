import { describe } from '@jujubecroft/testing';
import type {
  InstanceId,
  OrganisationId,
  RoutedService,
} from '@jujubecroft/types';
import { brand, createRandom } from '@jujubecroft/types';

import { OrganisationShares } from '../../../src/gateway/shares/OrganisationShares.js';
import type { ManualClock } from '../helpers/gatewayFixture.js';
import { manualClock, SERVICE } from '../helpers/gatewayFixture.js';

const SERVED: RoutedService = {
  id: SERVICE,
  maxConnections: 1,
  engine: null,
};
const WORK = 100;

function requestOf(organisation: string | null, priority = 0) {
  return {
    service: SERVED,
    priority,
    organisation:
      organisation === null ? null : brand<OrganisationId>(organisation),
    isCallerRetry: false,
  };
}

function sharesOn(clock: ManualClock): OrganisationShares {
  return new OrganisationShares({
    clock: clock.now,
    random: createRandom(3),
    timeOfDay: clock.now,
  });
}

/**
 * Offers a second of work of four organisations, of which the first sends six
 * times as much as the others.
 *
 * @returns how many requests of each organisation were held back
 */
function offerSecond(
  shares: OrganisationShares,
  clock: ManualClock,
  isShort: boolean,
  names: readonly string[] = ['a', 'b', 'c', 'd'],
): Readonly<Record<string, number>> {
  const held: Record<string, number> = {};
  Array.from({ length: 20 }).forEach((_, round) => {
    clock.advance(50);
    const senders = names.flatMap((name, index) =>
      Array.from({ length: index === 0 ? 6 : 1 }, () => name),
    );
    senders.forEach((name, index) => {
      const request = requestOf(name);
      if (isShort && index % 2 === round % 2) {
        shares.onShort(request);
      } else {
        shares.onSentOnTime(request, WORK);
      }
      held[name] =
        (held[name] ?? 0) + (shares.onOffered(request, WORK) ? 1 : 0);
    });
  });
  return held;
}

describe('OrganisationShares', ({ it }) => {
  it('holds back none while capacity is not short', t => {
    const clock = manualClock();
    const held = offerSecond(sharesOn(clock), clock, false);
    t.deepEqual(held, { a: 0, b: 0, c: 0, d: 0 });
  });

  it('holds back the organisation above its share, and no other, while capacity is short', t => {
    const clock = manualClock();
    const held = offerSecond(sharesOn(clock), clock, true);
    t.true((held.a ?? 0) > 30, JSON.stringify(held));
    t.deepEqual({ ...held, a: 0 }, { a: 0, b: 0, c: 0, d: 0 });
  });

  it('never holds back an organisation without competition at its priority', t => {
    const clock = manualClock();
    const shares = sharesOn(clock);
    shares.onOffered(requestOf('b', 1), WORK);
    t.deepEqual(offerSecond(shares, clock, true, ['a']), { a: 0 });
  });

  // The rate of an organisation decays for some 20 s after a large request.
  // Organisations are idle after 9 s; computed shares are reused for 100 ms.
  it('holds back none that has had no competition for ten seconds', t => {
    const clock = manualClock();
    const shares = sharesOn(clock);
    shares.onOffered(requestOf('b'), 10 * WORK);
    const held = Array.from({ length: 12 }).map(
      () => offerSecond(shares, clock, true, ['a']).a ?? 0,
    );
    t.true((held[0] ?? 0) > 0, 'the division was not in force');
    t.deepEqual(held.slice(10), [0, 0]);
  });

  it('does not hold back requests of a priority because another is short', t => {
    const clock = manualClock();
    const shares = sharesOn(clock);
    const names = ['a', 'a', 'a', 'a', 'a', 'a', 'b', 'c', 'd'];
    const heldAtOther = Array.from({ length: 20 }).flatMap(() => {
      offerSecond(shares, clock, true);
      return names.filter(name => shares.onOffered(requestOf(name, 1), WORK));
    });
    t.false(shares.isShort(SERVICE, 1));
    t.deepEqual(heldAtOther, []);
  });

  it('ends one second after the last lack of capacity', t => {
    const clock = manualClock();
    const shares = sharesOn(clock);
    offerSecond(shares, clock, true);
    clock.advance(1001);
    t.deepEqual(offerSecond(shares, clock, false), { a: 0, b: 0, c: 0, d: 0 });
  });

  // A refused caller returns to another instance; counting its request twice
  // would make its organisation look as if it sent more.
  it('counts a request that a caller repeats once, and public requests not at all', t => {
    const clock = manualClock();
    const shares = sharesOn(clock);
    shares.onShort(requestOf('a'));
    shares.onOffered({ ...requestOf('a'), isCallerRetry: true }, WORK);
    shares.onOffered(requestOf(null), WORK);
    t.deepEqual(shares.report.groups[0]?.organisations, []);
  });

  it('reports nothing unless capacity was short here or at a peer', t => {
    const clock = manualClock();
    const [shares, peer] = [sharesOn(clock), sharesOn(clock)];
    shares.onOffered(requestOf('a'), WORK);
    t.deepEqual(shares.report.groups, []);
    peer.onShort(requestOf('b'));
    shares.onReport(brand<InstanceId>('e-1'), peer.report);
    t.is(shares.report.groups.length, 1);
    t.true(shares.isShort(SERVICE, 0));
  });

  // Messages may stop, for example while the network is divided.
  it('goes by its own requests alone once peers have been silent for seconds', t => {
    const clock = manualClock();
    const [shares, peer] = [sharesOn(clock), sharesOn(clock)];
    offerSecond(peer, clock, true);
    const live = [brand<InstanceId>('e-0'), brand<InstanceId>('e-1')];
    shares.onInstances(live);
    shares.onReport(brand<InstanceId>('e-1'), peer.report);
    t.true(shares.isShort(SERVICE, 0));
    clock.advance(3001);
    t.false(shares.isShort(SERVICE, 0));
    t.is(shares.onOffered(requestOf('a'), WORK), null);
    // Alone, its own requests are of one organisation, without competition.
    t.deepEqual(offerSecond(shares, clock, true, ['a']), { a: 0 });
  });

  // Peers ignore reports with earlier times for seconds, for example after the
  // wall clock was corrected.
  it('orders its reports by time also if the wall clock is set back', t => {
    const clock = manualClock();
    let offsetMs = 1_764_000_000_000;
    const shares = new OrganisationShares({
      clock: clock.now,
      random: createRandom(3),
      timeOfDay: () => offsetMs + clock.now(),
    });
    const before = shares.report.asOfMs;
    offsetMs -= 5000;
    clock.advance(50);
    t.is(shares.report.asOfMs, before + 50);
  });

  it('drops the state of services that the configuration no longer has', t => {
    const clock = manualClock();
    const shares = sharesOn(clock);
    offerSecond(shares, clock, true);
    shares.retainServices([]);
    t.deepEqual(shares.report.groups, []);
  });
});
