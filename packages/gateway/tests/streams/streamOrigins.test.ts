import { describe } from '@jujubecroft/testing';
import type { SoftwareVersion } from '@jujubecroft/types';
import { brand, createRandom } from '@jujubecroft/types';

import type { FleetConditions } from '../helpers/VirtualFleet.js';
import { createReplica } from '../helpers/virtualDeployment.js';
import { VirtualFleet } from '../helpers/VirtualFleet.js';
import { beginStream, continueStream } from '../helpers/virtualStreams.js';

const VERSIONS = ['v1.1', 'v1.2'];
const DOMAINS = 3;
const STREAMS = 150;
/** Mean time between the beginnings of streams. */
const STREAM_INTERVAL_MS = 10;
/** Time from the last beginning to the loss of instances. */
const LOSS_AFTER_MS = 30;
/** Time from the loss to the callers' return. */
const RETURN_AFTER_MS = 40;
/**
 * Share of the streams that have to go on. Callers rely on half of the share of new streams
 * that begin, which is 1 here; the rest is room for what this fleet doesn't have.
 */
const MIN_SHARE = 0.95;

interface Outcome {
  /** Streams that go on at the version that began them. */
  readonly wentOn: number;
  /** Streams that go on at another version. */
  readonly joined: number;
  readonly refused: number;
}

/** Loses instances, and returns the indexes of those at which callers return. */
type LoseInstances = (fleet: VirtualFleet) => readonly number[];

const LOSSES: Readonly<Record<string, LoseInstances>> = {
  'none are lost': fleet => fleet.instances.map((_, index) => index),
  'a third loses power': fleet => {
    const lost = Math.floor(fleet.instances.length / 3);
    fleet.instances.slice(0, lost).forEach((_, index) => {
      fleet.powerOff(index);
    });
    return fleet.instances.map((_, index) => index).slice(lost);
  },
  'a failure domain loses power': fleet => {
    const indexes = fleet.instances.map((_, index) => index);
    const lost = indexes.filter(index => index % DOMAINS === 0);
    lost.forEach(index => {
      fleet.powerOff(index);
    });
    return indexes.filter(index => !lost.includes(index));
  },
  'a third is cut off from the others': fleet => {
    const lost = Math.floor(fleet.instances.length / 3);
    fleet.instances.slice(0, lost).forEach((_, index) => {
      fleet.isolate(index);
    });
    return fleet.instances.map((_, index) => index).slice(lost);
  },
  'a third has just restarted': fleet => {
    const lost = Math.floor(fleet.instances.length / 3);
    fleet.instances.slice(0, lost).forEach((_, index) => {
      fleet.restart(index);
    });
    return fleet.instances.map((_, index) => index).slice(lost);
  },
};

/**
 * Begins streams at random instances, loses some of these, and continues all streams at
 * others.
 */
async function continueAfter(
  conditions: Pick<FleetConditions, 'instances' | 'seed'>,
  lose: LoseInstances,
): Promise<Outcome> {
  const fleet = new VirtualFleet({
    replicas: 12,
    loss: 0.02,
    meanStallMs: 0,
    meanStallIntervalMs: 0,
    freshWithinMs: 3000,
    domains: DOMAINS,
    hasStreams: true,
    versions: VERSIONS,
    ...conditions,
  });
  const random = createRandom(conditions.seed);
  await fleet.start();
  const begun = new Map<string, string>();
  for (let number = 0; number < STREAMS; number += 1) {
    const id = `stream-${number}`;
    const version = VERSIONS[Math.floor(random() * VERSIONS.length)] ?? '';
    const index = Math.floor(random() * conditions.instances);
    beginStream(fleet, index, id, version);
    begun.set(id, version);
    await fleet.time.run(2 * STREAM_INTERVAL_MS * random());
  }
  await fleet.time.run(LOSS_AFTER_MS);
  const left = lose(fleet);
  await fleet.time.run(RETURN_AFTER_MS);
  const outcome = { wentOn: 0, joined: 0, refused: 0 };
  const answers = [...begun].map(async ([id, version]) => {
    const index = left[Math.floor(random() * left.length)] ?? 0;
    const at = await continueStream(fleet, index, id);
    const kind = at === version ? 'wentOn' : 'joined';
    outcome[at === null ? 'refused' : kind] += 1;
  });
  await fleet.time.run(1500);
  await Promise.all(answers);
  return outcome;
}

/** Time after which a version is known to be the only one of all streams. */
const HISTORY_MS = 13_000;
const ANSWERED_MS = 1500;
const V1 = brand<SoftwareVersion>('v1');

/** A fleet whose only service has had one version for long enough. */
async function fleetOfOneVersion(seed: number): Promise<VirtualFleet> {
  const fleet = new VirtualFleet({
    instances: 6,
    replicas: 4,
    loss: 0,
    meanStallMs: 0,
    meanStallIntervalMs: 0,
    freshWithinMs: 3000,
    domains: DOMAINS,
    hasStreams: true,
    seed,
  });
  await fleet.start();
  await fleet.time.run(HISTORY_MS);
  return fleet;
}

/** Continues a stream of which no other instance has a record. */
async function continueUnrecorded(
  fleet: VirtualFleet,
): Promise<SoftwareVersion | null> {
  const answer = continueStream(fleet, 1, 'unrecorded');
  await fleet.time.run(ANSWERED_MS);
  return answer;
}

describe('streams of a service that has had one version', ({ it }) => {
  it('go on without a record', async t => {
    t.is(await continueUnrecorded(await fleetOfOneVersion(1)), V1);
  });

  // Guards against a version that another instance knows first, begins a stream at, and
  // takes with it when it dies.
  it('are refused if a new version is in the store, known here or not', async t => {
    for (const seed of [1, 2, 3]) {
      const fleet = await fleetOfOneVersion(seed);
      fleet.store.put(createReplica('s-new', false, 'v2'));
      await fleet.time.run(50 * (seed - 1));
      t.is(await continueUnrecorded(fleet), null);
    }
  });

  // Guards against a guess when the view can't be confirmed.
  it('are refused while the store does not answer', async t => {
    const fleet = await fleetOfOneVersion(1);
    fleet.store.isSilent = true;
    t.is(await continueUnrecorded(fleet), null);
  });

  // Guards against streams that nobody knows since they began before a release.
  it('go on by records once a second version is there', async t => {
    const fleet = await fleetOfOneVersion(1);
    beginStream(fleet, 0, 'before', 'v1');
    await fleet.time.run(LOSS_AFTER_MS);
    fleet.store.put(createReplica('s-new', false, 'v2'));
    await fleet.time.run(2000);
    fleet.powerOff(0);
    const answer = continueStream(fleet, 1, 'before');
    await fleet.time.run(ANSWERED_MS);
    t.is(await answer, V1);
  });

  // Guards against records that are not sent because the store used to answer.
  it('go on by records while the store does not answer', async t => {
    const fleet = await fleetOfOneVersion(1);
    fleet.store.isSilent = true;
    await fleet.time.run(4000);
    beginStream(fleet, 0, 'recorded', 'v1');
    await fleet.time.run(LOSS_AFTER_MS);
    fleet.powerOff(0);
    const answer = continueStream(fleet, 1, 'recorded');
    await fleet.time.run(ANSWERED_MS);
    t.is(await answer, V1);
  });
});

describe('instances that restart in turn', ({ it }) => {
  // Guards against records that are lost when the last of their keepers restarts.
  it('pass their records on', async t => {
    const fleet = new VirtualFleet({
      instances: 6,
      replicas: 12,
      loss: 0.02,
      meanStallMs: 0,
      meanStallIntervalMs: 0,
      freshWithinMs: 3000,
      domains: DOMAINS,
      hasStreams: true,
      versions: VERSIONS,
      seed: 1,
    });
    await fleet.start();
    const ids = Array.from({ length: STREAMS }, (_, number) => `s-${number}`);
    ids.forEach((id, number) => {
      beginStream(fleet, number % 6, id, 'v1.2');
    });
    await fleet.time.run(LOSS_AFTER_MS);
    for (let index = 0; index < 6; index += 1) {
      const { context } = fleet.instances[index] ?? {};
      context?.membership.leave();
      context?.streams.handOver();
      await fleet.time.run(LOSS_AFTER_MS);
      fleet.restart(index);
      await fleet.time.run(1000);
    }
    const answers = ids.map(id => continueStream(fleet, 3, id));
    await fleet.time.run(ANSWERED_MS);
    const versions = await Promise.all(answers);
    const wentOn = versions.filter(version => version === 'v1.2').length;
    t.true(wentOn >= MIN_SHARE * STREAMS, String(wentOn));
  });
});

// Guards against streams that join two versions, or that are refused, because the
// instance that began them is gone.
describe('streams that callers continue at other instances', ({ itAlone }) => {
  const sizes = [
    { instances: 6, seeds: [1, 2, 3] },
    { instances: 60, seeds: [1] },
    { instances: 195, seeds: [1] },
  ];
  sizes.forEach(({ instances, seeds }) => {
    Object.entries(LOSSES).forEach(([title, lose]) => {
      itAlone(`go on at ${instances} instances when ${title}`, async t => {
        for (const seed of seeds) {
          const outcome = await continueAfter({ instances, seed }, lose);
          t.is(outcome.joined, 0);
          t.true(
            outcome.wentOn >= MIN_SHARE * STREAMS,
            JSON.stringify(outcome),
          );
        }
      });
    });
  });
});
