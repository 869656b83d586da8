import { describe } from '@jujubecroft/testing';
import type { BackendServerId } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import type { Arrival, FleetConditions } from '../helpers/VirtualFleet.js';
import { VirtualFleet } from '../helpers/VirtualFleet.js';
import { createReplica } from '../helpers/virtualDeployment.js';

const ANSWER_MS = 100;
const REPLICAS = 6;
const LEAVING = brand<BackendServerId>('s-0');
const OUTAGE_MS = 8000;
/** Time for which the store lists the replica as ready after the outage. */
const OLD_ENTRY_MS = 3000;

type FleetSize = Pick<
  FleetConditions,
  'freshWithinMs' | 'instances' | 'meanStallMs' | 'seed'
>;

interface Outcome {
  /** Requests from instances that had received an answer that announced the leave. */
  readonly afterAnnouncement: readonly Arrival[];
  /** Number of instances that received such an answer. */
  readonly informed: number;
  /** Requests at the other replicas after the last instance was informed. */
  readonly elsewhere: number;
}

/**
 * Makes a replica announce its leave in answers while the store is unavailable, and
 * still as ready in the store afterwards.
 */
async function runAnnouncedLeave(size: FleetSize): Promise<Outcome> {
  const fleet = new VirtualFleet({
    ...size,
    replicas: REPLICAS,
    loss: 0.02,
    meanStallIntervalMs: 500,
    answerMs: ANSWER_MS,
  });
  await fleet.start();
  fleet.store.isSilent = true;
  await fleet.time.run(500);
  fleet.announceLeave(LEAVING);
  await fleet.time.run(OUTAGE_MS);
  fleet.store.isSilent = false;
  fleet.store.put({ ...createReplica(LEAVING), coldMs: 1 });
  await fleet.time.run(OLD_ENTRY_MS);
  const informedAtMs = new Map<string, number>();
  fleet.arrivals
    .filter(({ announcedLeave }) => announcedLeave)
    .forEach(({ instance, answeredAtMs }) => {
      const earliestMs = informedAtMs.get(instance) ?? Infinity;
      informedAtMs.set(instance, Math.min(earliestMs, answeredAtMs));
    });
  const lastInformedMs = Math.max(...informedAtMs.values());
  return {
    afterAnnouncement: fleet.arrivals.filter(
      ({ replica, instance, atMs }) =>
        replica === LEAVING && atMs > (informedAtMs.get(instance) ?? Infinity),
    ),
    informed: informedAtMs.size,
    elsewhere: fleet.arrivals.filter(
      ({ replica, atMs }) => replica !== LEAVING && atMs > lastInformedMs,
    ).length,
  };
}

// Guards against requests to a replica whose answer has announced its leave, while the
// store is unavailable or lists the replica as ready.
describe('a leave announced in an answer takes effect at once', ({
  itAlone,
}) => {
  const sizes: readonly FleetSize[] = [
    { instances: 6, freshWithinMs: 2000, meanStallMs: 0, seed: 1 },
    { instances: 6, freshWithinMs: 2000, meanStallMs: 400, seed: 2 },
    { instances: 60, freshWithinMs: 3000, meanStallMs: 200, seed: 1 },
    { instances: 195, freshWithinMs: 4000, meanStallMs: 200, seed: 1 },
  ];
  sizes.forEach(size => {
    const { instances, meanStallMs } = size;
    itAlone(
      `at ${instances} instances with mean stalls of ${meanStallMs} ms`,
      async t => {
        const outcome = await runAnnouncedLeave(size);
        t.is(outcome.afterAnnouncement.length, 0);
        t.is(outcome.informed, instances);
        t.true(outcome.elsewhere > instances, `${outcome.elsewhere}`);
      },
    );
  });
});
