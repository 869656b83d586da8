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
/** Part of a limit that must be used where much more is asked for. */
const MIN_USE = 0.5;

interface Played {
  /** Most requests in four seconds at each limited replica. */
  readonly most: readonly number[];
  /** Part of the limits that was used once they bound. */
  readonly use: number;
  /** Requests a second that unlimited replicas got. */
  readonly othersPerS: number;
}

interface Load {
  readonly instances: number;
  readonly replicas: number;
  readonly limited: number;
  readonly contactMs: number;
  readonly seed: number;
  readonly heldUpMs?: number;
}

/** Lets some replicas name a limit under a load of ten requests a second an instance. */
async function playLimits(load: Load): Promise<Played> {
  const { instances, replicas, limited, contactMs, seed } = load;
  const fleet = new VirtualFleet({
    instances,
    replicas,
    loss: 0.02,
    meanStallMs: load.heldUpMs ?? 0,
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
  const fromMs = fleet.time.nowMs + contactMs;
  await fleet.time.run(contactMs + LOAD_MS);
  const perReplica = groupByReplica(fleet.arrivals);
  const late = fleet.arrivals.filter(({ atMs }) => atMs >= fromMs);
  const atLimited = late.filter(({ replica }) => limitedIds.includes(replica));
  const seconds = LOAD_MS / MS_PER_SECOND;
  return {
    most: limitedIds.map(id => peakInWindow(perReplica.get(id) ?? [], fromMs)),
    use: atLimited.length / (LIMIT_PER_S * limited * seconds),
    othersPerS: (late.length - atLimited.length) / seconds,
  };
}

// Guards against replicas that get much more than the limit that they name for all
// instances together: nobody read it, and each instance alone doesn't know the sum.
describe('a limit that a replica names is kept by all instances', ({
  itAlone,
}) => {
  const sizes = [
    { instances: 6, replicas: 4, contactMs: 3000, seeds: [1, 2] },
    { instances: 60, replicas: 12, contactMs: 4000, seeds: [1] },
    { instances: 195, replicas: 12, contactMs: 5000, seeds: [1] },
  ];
  sizes.forEach(({ instances, replicas, contactMs, seeds }) => {
    itAlone(`by two of ${replicas}, at ${instances} instances`, async t => {
      for (const seed of seeds) {
        const load = { instances, replicas, contactMs, seed };
        const { most, othersPerS } = await playLimits({
          ...load,
          limited: 2,
          heldUpMs: 200,
        });
        t.true(
          Math.max(...most) <= allowedInWindow(LIMIT_PER_S),
          JSON.stringify(most),
        );
        t.true(othersPerS > 5 * instances, 'the others take the rest');
      }
    });

    itAlone(
      `by all ${replicas}, of which much is used, at ${instances}`,
      async t => {
        for (const seed of seeds) {
          const load = {
            instances,
            replicas,
            contactMs,
            seed,
            limited: replicas,
          };
          const { most, use } = await playLimits(load);
          t.true(
            Math.max(...most) <= allowedInWindow(LIMIT_PER_S),
            JSON.stringify(most),
          );
          t.true(use >= MIN_USE, `${use}`);
        }
      },
    );
  });
});
