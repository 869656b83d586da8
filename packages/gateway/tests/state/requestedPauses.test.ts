import { describe } from '@jujubecroft/testing';
import type { BackendServerId } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import type { Arrival } from '../helpers/VirtualFleet.js';
import { VirtualFleet } from '../helpers/VirtualFleet.js';

const ANSWER_MS = 100;
const REPLICAS = 6;
const PAUSE_MS = 3000;
const OVERLOAD_MS = 10_000;
const RECOVERY_MS = 4000;
/** Width of the intervals in which returning instances are counted. */
const RETURN_INTERVAL_MS = 50;

interface Load {
  readonly instances: number;
  /** Number of replicas that reject all requests. */
  readonly shedding: number;
  readonly freshWithinMs: number;
  readonly meanStallMs: number;
}

interface Outcome {
  /** Requests in a pause that the replica had requested from their instance. */
  readonly inPause: readonly Arrival[];
  /** Rejections of all instances. */
  readonly rejections: number;
  /** Requests at the shedding replicas once they accept requests again. */
  readonly afterRecovery: number;
  /**
   * Largest share of the instances that return to the first replica within one
   * interval.
   */
  readonly peakReturnShare: number;
}

function isInPause(arrival: Arrival, rejections: readonly Arrival[]): boolean {
  const { replica, instance, atMs } = arrival;
  return rejections.some(
    other =>
      other.replica === replica &&
      other.instance === instance &&
      atMs > other.answeredAtMs &&
      atMs < other.answeredAtMs + PAUSE_MS,
  );
}

function peakReturnShare(
  rejections: readonly Arrival[],
  load: Pick<Load, 'instances'>,
): number {
  const seen = new Set<string>();
  const second = rejections.filter(({ instance, replica }) => {
    const isReturn = replica === 's-0' && seen.has(instance);
    seen.add(instance);
    return isReturn;
  });
  const byInterval = new Map<number, Set<string>>();
  second.forEach(({ instance, atMs }) => {
    const interval = Math.floor(atMs / RETURN_INTERVAL_MS);
    const group = byInterval.get(interval) ?? new Set();
    byInterval.set(interval, group.add(instance));
  });
  const most = Math.max(0, ...[...byInterval.values()].map(({ size }) => size));
  return most / load.instances;
}

/** Lets some replicas reject all requests for a while. */
async function runOverload(load: Load): Promise<Outcome> {
  const { shedding, ...size } = load;
  const fleet = new VirtualFleet({
    ...size,
    replicas: REPLICAS,
    loss: 0.02,
    meanStallIntervalMs: 500,
    answerMs: ANSWER_MS,
    seed: 1,
  });
  await fleet.start();
  const ids = Array.from({ length: shedding }, (_, index) =>
    brand<BackendServerId>(`s-${index}`),
  );
  ids.forEach(id => {
    fleet.shed(id, PAUSE_MS);
  });
  await fleet.time.run(OVERLOAD_MS);
  const rejections = fleet.arrivals.filter(
    ({ requestedPause }) => requestedPause,
  );
  ids.forEach(id => {
    fleet.shed(id, null);
  });
  const recoveredMs = fleet.time.nowMs;
  await fleet.time.run(RECOVERY_MS);
  return {
    inPause: fleet.arrivals.filter(arrival => isInPause(arrival, rejections)),
    rejections: rejections.length,
    afterRecovery: fleet.arrivals.filter(
      ({ replica, atMs }) => ids.includes(replica) && atMs > recoveredMs,
    ).length,
    peakReturnShare: peakReturnShare(rejections, load),
  };
}

// Guards against requests to an overloaded replica in the time for which it has asked
// their instance to send nothing.
describe('a pause that a replica requests is respected', ({ itAlone }) => {
  const loads: readonly Load[] = [
    { instances: 6, shedding: 1, freshWithinMs: 2000, meanStallMs: 0 },
    { instances: 6, shedding: REPLICAS, freshWithinMs: 2000, meanStallMs: 0 },
    { instances: 60, shedding: 2, freshWithinMs: 3000, meanStallMs: 200 },
    { instances: 195, shedding: 2, freshWithinMs: 4000, meanStallMs: 200 },
  ];
  loads.forEach(load => {
    itAlone(
      `by ${load.instances} instances, with ${load.shedding} of ${REPLICAS} replicas overloaded`,
      async t => {
        const outcome = await runOverload(load);
        t.is(outcome.inPause.length, 0);
        t.true(outcome.rejections >= load.instances);
        t.true(outcome.afterRecovery > 0);
        t.true(
          load.instances < 60 || outcome.peakReturnShare < 0.5,
          `${outcome.peakReturnShare} return at once`,
        );
      },
    );
  });
});
