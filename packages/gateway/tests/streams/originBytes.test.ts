import { describe } from '@jujubecroft/testing';

import { VirtualFleet } from '../helpers/VirtualFleet.js';
import { beginStream } from '../helpers/virtualStreams.js';

const INSTANCES = 195;
/** Streams that begin per second at each instance. */
const STREAMS_PER_S = 10;
const SECONDS = 3;
/** Time after which a single version is known to be the only one of all streams. */
const HISTORY_MS = 13_000;
const BYTES_PER_KB = 1024;
/** Control traffic that an instance may send, in KB per second. */
const MAX_KB_PER_S = 21;

interface Traffic {
  /** Messages about streams. */
  readonly messages: number;
  /** Median of what instances send, in KB per second. */
  readonly medianKbPerS: number;
}

async function countMessages(fleet: VirtualFleet): Promise<number> {
  const counts = fleet.instances.map(async ({ context }) => {
    const { values } = await context.metrics.peerMessages.get();
    return values
      .filter(({ labels }) => String(labels.kind).startsWith('origin'))
      .reduce((sum, { value }) => sum + value, 0);
  });
  return (await Promise.all(counts)).reduce((sum, count) => sum + count, 0);
}

/** Measures the traffic of a fleet whose replicas have some versions. */
async function measure(
  versions: readonly string[],
  streamsPerS: number,
): Promise<Traffic> {
  const fleet = new VirtualFleet({
    instances: INSTANCES,
    replicas: 60,
    freshWithinMs: 4000,
    loss: 0.01,
    meanStallMs: 0,
    meanStallIntervalMs: 0,
    seed: 1,
    domains: 3,
    hasStreams: true,
    versions,
  });
  await fleet.start();
  await fleet.time.run(versions.length > 1 ? 0 : HISTORY_MS);
  const before = fleet.instances.map(({ link }) => link.sentBytes);
  const messagesBefore = await countMessages(fleet);
  const rounds = SECONDS * streamsPerS;
  for (let round = 0; round < rounds; round += 1) {
    fleet.instances.forEach((_, index) => {
      beginStream(fleet, index, `${round}-${index}`, versions[0] ?? '');
    });
    await fleet.time.run((SECONDS * 1000) / rounds);
  }
  if (rounds === 0) {
    await fleet.time.run(SECONDS * 1000);
  }
  const kbPerS = fleet.instances
    .map(({ link }, index) => link.sentBytes - (before[index] ?? 0))
    .map(bytes => bytes / BYTES_PER_KB / SECONDS)
    .sort((a, b) => a - b);
  return {
    messages: (await countMessages(fleet)) - messagesBefore,
    medianKbPerS: kbPerS[Math.floor(kbPerS.length / 2)] ?? Infinity,
  };
}

describe('records of where streams began', ({ itAlone }) => {
  // Guards against traffic where every instance knows the version by itself.
  itAlone('are not sent while a service has one version', async t => {
    const { messages } = await measure(['v1.1'], STREAMS_PER_S);
    t.is(messages, 0);
  });

  // Guards against records that take more of the links than all other control traffic
  // may, which keeps the instances current.
  itAlone(
    'stay within the control traffic that an instance may send',
    async t => {
      const none = await measure(['v1.1', 'v1.2'], 0);
      const some = await measure(['v1.1', 'v1.2'], STREAMS_PER_S);
      t.true(some.messages > 0);
      const addedKbPerS = some.medianKbPerS - none.medianKbPerS;
      t.log(`${none.medianKbPerS} KB/s, with records ${addedKbPerS} more`);
      t.true(addedKbPerS <= MAX_KB_PER_S, String(addedKbPerS));
    },
  );
});
