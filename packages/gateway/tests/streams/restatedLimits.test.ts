import { describe } from '@jujubecroft/testing';

import { createReplica } from '../helpers/virtualDeployment.js';
import { VirtualFleet } from '../helpers/VirtualFleet.js';
import { beginStream, continueStream } from '../helpers/virtualStreams.js';

const REPLICAS = 4;
const STREAMS = 60;
/** Time limit that callers state in each of their requests. */
const LIMIT_MS = 12_000;
/** Time for which the fleet runs before streams begin. */
const BEFORE_MS = 25_000;
const ANSWERED_MS = 1500;

interface Outcome {
  wentOn: number;
  joined: number;
  refused: number;
}

async function startFleet(
  instances: number,
  versions: readonly string[],
): Promise<VirtualFleet> {
  const fleet = new VirtualFleet({
    instances,
    replicas: REPLICAS,
    loss: 0.01,
    meanStallMs: 0,
    meanStallIntervalMs: 0,
    freshWithinMs: 3000,
    domains: 3,
    hasStreams: true,
    versions,
    seed: 1,
  });
  await fleet.start();
  await fleet.time.run(BEFORE_MS);
  return fleet;
}

/** Begins streams at version v1, one after another. */
async function beginStreams(fleet: VirtualFleet): Promise<readonly string[]> {
  const ids = Array.from({ length: STREAMS }, (_, number) => `s-${number}`);
  for (const [number, id] of ids.entries()) {
    beginStream(fleet, number % fleet.instances.length, id, 'v1', LIMIT_MS);
    await fleet.time.run(10);
  }
  return ids;
}

/** Replaces all replicas by some of version v2. */
function replaceAll(fleet: VirtualFleet): void {
  for (let index = 0; index < REPLICAS; index += 1) {
    fleet.leaveUnannounced(index);
    fleet.store.put(createReplica(`n-${index}`, false, 'v2'));
  }
}

/** Kills all instances, and starts them again without what they knew. */
function loseAll(fleet: VirtualFleet): void {
  fleet.instances.forEach((_, index) => {
    fleet.restart(index);
  });
}

/** Continues all streams, with the whole time limit stated anew. */
async function takeUp(
  fleet: VirtualFleet,
  ids: readonly string[],
  round: number,
): Promise<Outcome> {
  const outcome = { wentOn: 0, joined: 0, refused: 0 };
  const answers = ids.map(async (id, number) => {
    const index = (number + round) % fleet.instances.length;
    const at = await continueStream(fleet, index, id, LIMIT_MS);
    const kind = at === 'v1' ? 'wentOn' : 'joined';
    outcome[at === null ? 'refused' : kind] += 1;
  });
  await fleet.time.run(ANSWERED_MS);
  await Promise.all(answers);
  return outcome;
}

// Guards against streams joined from two versions, since a time limit that is stated anew was
// taken for that of a stream that has just begun.
describe('streams whose callers state their whole limit anew', ({
  itAlone,
}) => {
  [6, 60].forEach(instances => {
    itAlone(
      `are not joined, however often they are continued, at ${instances} instances`,
      async t => {
        const fleet = await startFleet(instances, ['v1']);
        const ids = await beginStreams(fleet);
        replaceAll(fleet);
        await fleet.time.run(1000);
        loseAll(fleet);
        for (let round = 0; round < 5; round += 1) {
          await fleet.time.run(1500);
          const outcome = await takeUp(fleet, ids, round);
          t.deepEqual(outcome, { wentOn: 0, joined: 0, refused: STREAMS });
        }
      },
    );

    itAlone(
      `are not joined when they are older than their limit, at ${instances} instances`,
      async t => {
        // With a version of its own, that of the streams needs records.
        const fleet = await startFleet(instances, ['v1', 'v2']);
        const ids = await beginStreams(fleet);
        for (let round = 0; round < 3; round += 1) {
          await fleet.time.run(8000);
          t.is((await takeUp(fleet, ids, round)).joined, 0);
        }
        replaceAll(fleet);
        await fleet.time.run(2000);
        loseAll(fleet);
        await fleet.time.run(LIMIT_MS + 10_000);
        const outcome = await takeUp(fleet, ids, 0);
        t.deepEqual(outcome, { wentOn: 0, joined: 0, refused: STREAMS });
      },
    );
  });
});
