import type { BackendServerId } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';
import { describe } from '@jujubecroft/testing';

import {
  allowedInWindow,
  groupByReplica,
  peakInWindow,
} from '../helpers/limitUse.js';
import { VirtualFleet } from '../helpers/VirtualFleet.js';

const ANSWER_MS = 100;
const LIMIT_PER_S = 4.4;
const LOAD_MS = 10_000;
const MS_PER_SECOND = 1000;
/** Minimum share of the limits that must be used if the load is much higher. */
const MIN_USED_SHARE = 0.5;

interface Outcome {
  /** Maximum number of requests in any four seconds, at each limited replica. */
  readonly peaks: readonly number[];
  /** Share of the limits that was used. */
  readonly usedShare: number;
  /** Requests per second at the unlimited replicas. */
  readonly othersPerS: number;
}

interface Load {
  readonly instances: number;
  readonly replicas: number;
  /** Number of replicas that state a limit. */
  readonly limited: number;
  /** Time after which all instances must know the limits. */
  readonly propagationMs: number;
  readonly seed: number;
  /** Mean duration of stalls; none if omitted. */
  readonly meanStallMs?: number;
}

/** Makes some replicas state a limit, at ten requests per second from each instance. */
async function runWithLimits(load: Load): Promise<Outcome> {
  const { instances, replicas, limited, propagationMs, seed } = load;
  const fleet = new VirtualFleet({
    instances,
    replicas,
    loss: 0.02,
    meanStallMs: load.meanStallMs ?? 0,
    meanStallIntervalMs: 500,
    freshWithinMs: 3000,
    answerMs: ANSWER_MS,
    seed,
  });
  await fleet.start();
  const limitedIds = Array.from({ length: limited }, (_, index) =>
    brand<BackendServerId>(`s-${index}`),
  );
  limitedIds.forEach(id => {
    fleet.limit(id, LIMIT_PER_S);
  });
  const fromMs = fleet.time.nowMs + propagationMs;
  await fleet.time.run(propagationMs + LOAD_MS);
  const perReplica = groupByReplica(fleet.arrivals);
  const counted = fleet.arrivals.filter(({ atMs }) => atMs >= fromMs);
  const atLimited = counted.filter(({ replica }) =>
    limitedIds.includes(replica),
  );
  const seconds = LOAD_MS / MS_PER_SECOND;
  return {
    peaks: limitedIds.map(id => peakInWindow(perReplica.get(id) ?? [], fromMs)),
    usedShare: atLimited.length / (LIMIT_PER_S * limited * seconds),
    othersPerS: (counted.length - atLimited.length) / seconds,
  };
}

// Guards against replicas that get much more than the limit that they state for all
// instances together. Instances have to read the limits and to share what they know,
// since none alone knows the total load of a replica.
describe('the limit that a replica states is respected by all instances together', ({
  itAlone,
}) => {
  const sizes = [
    { instances: 6, replicas: 4, propagationMs: 3000, seeds: [1, 2] },
    { instances: 60, replicas: 12, propagationMs: 4000, seeds: [1] },
    { instances: 195, replicas: 12, propagationMs: 5000, seeds: [1] },
  ];
  sizes.forEach(({ instances, replicas, propagationMs, seeds }) => {
    itAlone(
      `with limits at two of ${replicas} replicas and ${instances} instances`,
      async t => {
        for (const seed of seeds) {
          const load = { instances, replicas, propagationMs, seed };
          const { peaks, othersPerS } = await runWithLimits({
            ...load,
            limited: 2,
            meanStallMs: 200,
          });
          t.true(
            Math.max(...peaks) <= allowedInWindow(LIMIT_PER_S),
            JSON.stringify(peaks),
          );
          t.true(
            othersPerS > 5 * instances,
            'the unlimited replicas take the rest',
          );
        }
      },
    );

    itAlone(
      `with limits at all ${replicas} replicas and ${instances} instances, at least half used`,
      async t => {
        for (const seed of seeds) {
          const load = {
            instances,
            replicas,
            propagationMs,
            seed,
            limited: replicas,
          };
          const { peaks, usedShare } = await runWithLimits(load);
          t.true(
            Math.max(...peaks) <= allowedInWindow(LIMIT_PER_S),
            JSON.stringify(peaks),
          );
          t.true(usedShare >= MIN_USED_SHARE, `${usedShare}`);
        }
      },
    );
  });
});
