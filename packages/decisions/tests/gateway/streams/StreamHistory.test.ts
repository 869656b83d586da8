import type { Route, ServiceId, SoftwareVersion } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';
import { describe } from '@jujubecroft/testing';

import type {
  StreamHistory,
  StreamObservation,
} from '../../../src/gateway/streams/StreamHistory.js';
import {
  isSameHistory,
  observeStreams,
  parseStreamHistory,
  soleOriginFromMs,
} from '../../../src/gateway/streams/StreamHistory.js';
import { replica, route } from '../helpers/gatewayFixture.js';

const V1 = brand<SoftwareVersion>('v1');
const V2 = brand<SoftwareVersion>('v2');
const SERVICE = brand<ServiceId>('pool');
const OTHER = brand<ServiceId>('other');

const EMPTY: StreamHistory = { longestLifeMs: 0, services: {}, routes: {} };

function routeTo(...services: ServiceId[]): Route {
  return route({
    kind: 'streaming',
    resumable: true,
    shares: services.map(service => ({ service, weight: 1 })),
  });
}

function observation(
  storeMs: number,
  versions: readonly SoftwareVersion[],
  routes: readonly Route[] = [routeTo(SERVICE)],
): StreamObservation {
  const replicas = versions.map((softwareVersion, index) =>
    replica(`p-${index}`, { service: SERVICE, softwareVersion }),
  );
  return { routes, replicas, longestLifeMs: 4000, storeMs };
}

/** Observes one after the other, and stores the result as JSON in between. */
function history(...observations: readonly StreamObservation[]): StreamHistory {
  return observations.reduce<StreamHistory>((known, next) => {
    const stored = JSON.stringify(observeStreams(known, next));
    return parseStreamHistory(JSON.parse(stored)) ?? EMPTY;
  }, EMPTY);
}

const soleFromMs = (known: StreamHistory, version = V1): number =>
  soleOriginFromMs(known, routeTo(SERVICE), SERVICE, version);

describe('StreamHistory', ({ it }) => {
  it('knows one version since it is observed', t => {
    const known = history(observation(10, [V1, V1]), observation(90, [V1]));
    t.is(soleFromMs(known), 10);
    t.is(soleFromMs(known, V2), Infinity);
  });

  // Guards against streams that are joined since a version has left.
  it('knows when the last replica of another version left', t => {
    const both = history(observation(10, [V1]), observation(20, [V1, V2]));
    t.is(soleFromMs(both), Infinity);
    t.is(soleFromMs(both, V2), Infinity);
    const left = history(
      observation(10, [V1]),
      observation(20, [V1, V2]),
      observation(30, [V2]),
      observation(90, [V2]),
    );
    t.is(soleFromMs(left, V2), 30);
    t.is(soleFromMs(left), Infinity);
  });

  // Guards against a version that comes back after a release was taken back.
  it('counts anew for a version that was away', t => {
    const known = history(
      observation(10, [V1]),
      observation(20, [V2]),
      observation(30, [V1]),
    );
    t.is(soleFromMs(known), 30);
  });

  // Guards against streams of a service that its route no longer leads to.
  it('counts anew for a route that leads elsewhere', t => {
    const moved = history(
      observation(10, [V1]),
      observation(20, [V1], [routeTo(OTHER)]),
      observation(30, [V1]),
    );
    t.is(soleFromMs(moved), 30);
    const shared = history(
      observation(10, [V1]),
      observation(20, [V1], [routeTo(SERVICE, OTHER)]),
    );
    t.is(soleFromMs(shared), Infinity);
  });

  it('keeps a few former versions, and forgets none unnoticed', t => {
    const many = Array.from({ length: 20 }, (_, index) =>
      observation(10 * index, [brand<SoftwareVersion>(`v${index}`)]),
    );
    const known = history(...many, observation(1000, [V1]));
    t.true(Object.keys(known.services[SERVICE]?.leftMs ?? {}).length <= 9);
    t.is(soleFromMs(known), 1000);
  });

  it('writes the longest life in few steps', t => {
    const lives = Array.from({ length: 1000 }, (_, index) => 12_000 + index);
    const steps = lives.reduce<readonly number[]>((known, longestLifeMs) => {
      const next = observeStreams(
        { ...EMPTY, longestLifeMs: known.at(-1) ?? 0 },
        { ...observation(10, [V1]), longestLifeMs },
      ).longestLifeMs;
      return next === known.at(-1) ? known : [...known, next];
    }, []);
    t.deepEqual(steps, [12_000, 14_000]);
  });

  // Guards against refusals while instances are replaced by newer ones.
  it('reads the form that kept the longest time limit', t => {
    const { longestLifeMs, ...rest } = history(observation(10, [V1]));
    const former = { ...rest, longestLimitMs: longestLifeMs };
    t.deepEqual(parseStreamHistory(former), { ...rest, longestLifeMs });
  });

  it('is the same while nothing changes', t => {
    const known = history(observation(10, [V1]));
    t.true(isSameHistory(known, observeStreams(known, observation(50, [V1]))));
    t.false(isSameHistory(known, observeStreams(known, observation(50, [V2]))));
    t.false(isSameHistory(null, known));
  });
});
