import { describe } from '@jujubecroft/testing';
import type {
  FailureDomainId,
  InstanceId,
  SoftwareVersion,
  StreamKey,
} from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import { keepersOf } from '../../../src/gateway/streams/keepersOf.js';
import type { StreamRecord } from '../../../src/gateway/streams/StreamRecords.js';
import { StreamRecords } from '../../../src/gateway/streams/StreamRecords.js';
import { manualClock, SERVICE } from '../helpers/gatewayFixture.js';

function record(key: string, version = 'v1.1', keepMs = 1000): StreamRecord {
  return {
    key: brand<StreamKey>(key),
    service: SERVICE,
    softwareVersion: brand<SoftwareVersion>(version),
    keepMs,
    provenAgeMs: 0,
  };
}

describe('StreamRecords', ({ it }) => {
  it('keeps a record for its time from the latest report on', t => {
    const clock = manualClock();
    const records = new StreamRecords(clock.now);
    records.add(record('a'));
    clock.advance(900);
    records.add(record('a'));
    clock.advance(900);
    t.is(records.find(brand<StreamKey>('a'))?.ageMs, 900);
    t.is(records.current[0]?.keepMs, 100);
    clock.advance(200);
    t.is(records.find(brand<StreamKey>('a')), null);
  });

  // Guards against streams that count as young since they were continued.
  it('knows how long ago a stream was first reported', t => {
    const clock = manualClock();
    const records = new StreamRecords(clock.now);
    t.is(records.add(record('a')), 0);
    clock.advance(900);
    t.is(records.add(record('a', 'v1.1', 50)), 900);
    clock.advance(60);
    t.is(records.find(brand<StreamKey>('a'))?.provenAgeMs, 960);
    t.is(records.current[0]?.provenAgeMs, 960);
    t.is(records.add({ ...record('a'), provenAgeMs: 5000 }), 5000);
  });

  // Guards against a caller that uses an id twice and gets the rest of the other stream.
  it('knows no origin that was reported in two ways', t => {
    const records = new StreamRecords(manualClock().now);
    records.add(record('a'));
    records.add(record('a', 'v1.2'));
    records.add(record('a', 'v1.2'));
    t.is(records.find(brand<StreamKey>('a')), null);
    t.deepEqual(records.current, []);
  });

  // Guards against memory that grows with the streams of a day.
  it('drops expired records, and the oldest ones beyond a limit', t => {
    const clock = manualClock();
    const records = new StreamRecords(clock.now);
    Array.from({ length: 30_000 }, (_, index) => {
      records.add(record(`k-${index}`));
    });
    t.is(records.size, 20_000);
    clock.advance(1001);
    records.add(record('later'));
    t.is(records.size, 1);
  });
});

describe('keepersOf', ({ it }) => {
  const members = Array.from({ length: 12 }, (_, index) => ({
    id: brand<InstanceId>(`entry-${index}`),
    failureDomain: brand<FailureDomainId>(`d-${index % 3}`),
  }));
  const key = brand<StreamKey>('00c0ffee00c0ffee');

  // Guards against records that are lost with one failure domain.
  it('names instances of different failure domains first', t => {
    const domains = keepersOf(key, members).map(member => member.failureDomain);
    t.is(new Set(domains.slice(0, 3)).size, 3);
    t.is(new Set(domains.slice(3, 6)).size, 3);
  });

  // Guards against instances that ask others than those that were told.
  it('keeps the others in order, whatever the list and without a lost member', t => {
    const all = keepersOf(key, members).filter(
      member => member.failureDomain === 'd-1',
    );
    const [lost, ...others] = all;
    const left = keepersOf(
      key,
      [...members].reverse().filter(member => member !== lost),
    ).filter(member => member.failureDomain === 'd-1');
    t.deepEqual(left, others);
  });
});
