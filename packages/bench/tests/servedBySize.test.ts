import { describe } from '@jujubecroft/testing';
import { defaultGatewayPolicies } from '@jujubecroft/decisions';

import { GatewayReplay } from '../src/gateway/GatewayReplay.js';
import type { ReplayShape } from '../src/gateway/replayShapes.js';
import { LARGE_FLEET, SMALL_FLEET } from '../src/gateway/replayShapes.js';
import { EQUAL_PRIORITY_LOAD } from '../src/gateway/organisationPriorityLoads.js';

const SEEDS = [1, 2];
/** Minimum ratio of the served share of large requests to that of all requests of their kind. */
const MIN_SHARE_RATIO = 0.5;

function underservedOf(shape: ReplayShape): readonly string[] {
  return SEEDS.flatMap(seed => {
    const replay = new GatewayReplay(defaultGatewayPolicies, seed, {
      ...shape,
      load: EQUAL_PRIORITY_LOAD,
      callersRetry: true,
    });
    replay.run();
    return replay.servedBySize
      .filter(
        ({ all, largestTenth, nextFifth }) =>
          Math.min(largestTenth, nextFifth) < MIN_SHARE_RATIO * all,
      )
      .map(({ kind, all, largestTenth, nextFifth }) =>
        [
          `seed ${seed}, ${kind}: ${all.toFixed(2)} of all were served,`,
          `${largestTenth.toFixed(2)} of the largest tenth,`,
          `${nextFifth.toFixed(2)} of the next fifth`,
        ].join(' '),
      );
  });
}

// Guards against admission refusing large requests far more often than small ones.
// With invoices at several times their usual rate, 17% of the attempts of the largest
// tenth were answered, 28% of the next fifth and 40% of the rest; of 731 refusals
// ("requestRefused"), 642 had both predictions beyond their bounds. Admission keeps
// queues at its bounds, and the prediction included the prefill of the request itself:
// 24,600 tokens at the median of the largest placed requests, with 30,800 tokens ahead
// in total.
describe('replay of a burst: large requests of the bursting kind', ({ it }) => {
  it('are served at least half as often as all of their kind, on six instances', t => {
    t.deepEqual(underservedOf(SMALL_FLEET), []);
  });

  it('are served at least half as often as all of their kind, on sixty instances', t => {
    t.deepEqual(underservedOf(LARGE_FLEET), []);
  });
});
