import { describe } from '@jujubecroft/testing';
import type { InstanceId, OrganisationId } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';
import fc from 'fast-check';

import { PeerWork } from '../../../src/gateway/shares/PeerWork.js';
import type { WorkReport } from '../../../src/index.js';
import { SERVICE } from '../helpers/gatewayFixture.js';

const ORGANISATION = brand<OrganisationId>('o');

function report(asOfMs: number): WorkReport {
  const group = {
    service: SERVICE,
    priority: 0,
    onTimePerS: asOfMs,
    shortAgeMs: 0,
    organisations: [{ organisation: ORGANISATION, workPerS: 2 * asOfMs }],
  };
  return { asOfMs, groups: [group] };
}

const MESSAGES = fc.array(
  fc.record({
    peer: fc.integer({ min: 0, max: 4 }).map(n => brand<InstanceId>(`e-${n}`)),
    asOfMs: fc.integer({ min: 1, max: 1000 }),
  }),
  { minLength: 1, maxLength: 30 },
);
type Message = readonly { peer: InstanceId; asOfMs: number }[];

function onTimeAfter(messages: Message): readonly number[] {
  let nowMs = 0;
  const work = new PeerWork(() => nowMs);
  messages.forEach(({ peer, asOfMs }) => {
    // Thirty messages arrive within the time after which a report expires.
    nowMs += 90;
    work.onReport(peer, report(asOfMs));
  });
  return work
    .groupsOf(SERVICE, 0)
    .map(({ onTimePerS }) => onTimePerS)
    .sort((a, b) => a - b);
}

describe('PeerWork', ({ it }) => {
  // Datagrams are delayed, repeated and overtake each other; work must not be
  // counted twice, nor an older report replace a newer one.
  it('keeps the newest report of each instance, whatever the order, repetition and delay', t => {
    fc.assert(
      fc.property(
        MESSAGES.chain(sent =>
          fc.tuple(
            fc.constant(sent),
            fc.shuffledSubarray(sent, { minLength: sent.length }),
          ),
        ),
        ([sent, arrived]) => {
          const newest = new Map<InstanceId, number>();
          sent.forEach(({ peer, asOfMs }) => {
            newest.set(peer, Math.max(asOfMs, newest.get(peer) ?? 0));
          });
          const expected = [...newest.values()].sort((a, b) => a - b);
          t.deepEqual(onTimeAfter(arrived), expected);
          t.deepEqual(
            onTimeAfter([...arrived, ...sent].slice(0, 30)).length,
            newest.size,
          );
        },
      ),
    );
  });

  it('ages what peers reported and drops it after three seconds', t => {
    let nowMs = 0;
    const work = new PeerWork(() => nowMs);
    work.onReport(brand<InstanceId>('e'), report(5));
    nowMs = 700;
    t.is(work.groupsOf(SERVICE, 0)[0]?.shortAgeMs, 700);
    nowMs = 3001;
    t.deepEqual(work.groupsOf(SERVICE, 0), []);
  });

  // An instance whose clock was set back sends lower times than before.
  it('takes any report of an instance whose last one has expired', t => {
    let nowMs = 0;
    const work = new PeerWork(() => nowMs);
    work.onReport(brand<InstanceId>('e'), report(900));
    nowMs = 3001;
    work.onReport(brand<InstanceId>('e'), report(5));
    t.is(work.groupsOf(SERVICE, 0)[0]?.onTimePerS, 5);
  });

  it('drops the reports of instances that have left', t => {
    const work = new PeerWork(() => 0);
    work.onReport(brand<InstanceId>('e'), report(900));
    work.retainPeers([]);
    t.deepEqual(work.groupsOf(SERVICE, 0), []);
  });
});
