import { describe } from '@jujubecroft/testing';
import type { BackendServerId } from '@jujubecroft/types';
import { brand, eraOf } from '@jujubecroft/types';

import type { FleetConditions } from '../helpers/VirtualFleet.js';
import { VirtualFleet } from '../helpers/VirtualFleet.js';
import { createReplica } from '../helpers/virtualDeployment.js';

const REPLICAS = 8;
/** Age of the copy that the store is restored from. */
const COPY_AGE_MS = 4000;
/** Time until the lost writes are repeated. */
const REWRITE_MS = 500;
const SETTLE_MS = 4000;

type Size = Pick<
  FleetConditions,
  'freshWithinMs' | 'instances' | 'meanStallMs'
> & {
  /** Time for which the store gives no answer before it is back. */
  readonly awayMs: number;
  /** Number of times that the same copy is restored, within a second each. */
  readonly restores: number;
};

interface Outcome {
  /** Longest time from a leave to a request of an instance that lacked it. */
  readonly latestMissedMs: number;
  /** Requests to a replica after its leave was known everywhere. */
  readonly afterKnownLeave: number;
  /** Instances that use the replica that was added after the copy. */
  readonly usingAdded: number;
  /** Instances whose view belongs to the last era. */
  readonly inLastEra: number;
  /** Configuration versions in force. */
  readonly configurations: readonly number[];
  readonly latestConfiguration: number;
}

/** Restores the store while replicas leave and are added. */
async function runRestore(size: Size): Promise<Outcome> {
  const { awayMs, restores, ...conditions } = size;
  const fleet = new VirtualFleet({
    ...conditions,
    replicas: REPLICAS,
    loss: 0.02,
    meanStallIntervalMs: 500,
    answerMs: 50,
    seed: 3,
  });
  await fleet.start();
  const copy = fleet.store.copy();
  fleet.leave(0);
  fleet.store.put(createReplica('added'));
  await fleet.time.run(COPY_AGE_MS);
  const knownMs = fleet.time.nowMs;
  fleet.leave(1);
  fleet.store.isSilent = awayMs > 0;
  await fleet.time.run(awayMs);
  fleet.store.isSilent = false;
  let latestConfiguration = 0;
  for (let restore = 0; restore < restores; restore += 1) {
    fleet.store.restore(copy);
    await fleet.time.run(REWRITE_MS);
    fleet.leave(1);
    fleet.leave(0);
    fleet.store.put(createReplica('added'));
    latestConfiguration = fleet.configure();
    await fleet.time.run(REWRITE_MS / 2);
  }
  await fleet.time.run(SETTLE_MS);
  const boards = fleet.instances.map(({ context }) => context.router.board);
  const left = brand<BackendServerId>('s-0');
  const added = brand<BackendServerId>('added');
  return {
    latestMissedMs: Math.max(
      ...fleet.sent.map(({ missedLeaveMs }) => missedLeaveMs),
    ),
    afterKnownLeave: fleet.arrivals.filter(
      ({ replica, atMs }) => replica === left && atMs > knownMs,
    ).length,
    usingAdded: boards.filter(
      ({ replicas }) => replicas.find(added)?.leaving === false,
    ).length,
    inLastEra: boards.filter(
      ({ replicas }) => eraOf(replicas.version) === restores,
    ).length,
    configurations: fleet.versions,
    latestConfiguration,
  };
}

// Guards against views that stay as they are after the store was restored from an older
// copy, since it assigns versions that are already known to other changes.
describe('after the store was restored from a copy', ({ itAlone }) => {
  const calm = { awayMs: 0, meanStallMs: 0, restores: 1 };
  const sizes: readonly Size[] = [
    { ...calm, instances: 6, freshWithinMs: 2000 },
    { ...calm, instances: 6, freshWithinMs: 2000, restores: 2 },
    { ...calm, instances: 60, freshWithinMs: 3000, meanStallMs: 200 },
    { ...calm, instances: 195, freshWithinMs: 4000, meanStallMs: 200 },
    { ...calm, instances: 6, freshWithinMs: 2000, awayMs: 400 },
  ];
  sizes.forEach(size => {
    const { instances, restores, awayMs, freshWithinMs } = size;
    itAlone(
      `leaves are in force in time at ${instances} instances, restored ${restores} times after ${awayMs} ms`,
      async t => {
        const outcome = await runRestore(size);
        const { configurations, latestConfiguration } = outcome;
        t.true(
          outcome.latestMissedMs <= freshWithinMs,
          `${outcome.latestMissedMs}`,
        );
        t.is(outcome.afterKnownLeave, 0);
        t.is(outcome.usingAdded, instances);
        t.is(outcome.inLastEra, instances);
        t.true(configurations.every(known => known === latestConfiguration));
      },
    );
  });
});
