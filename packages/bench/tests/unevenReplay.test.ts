import { describe } from '@jujubecroft/testing';
import { defaultGatewayPolicies } from '@jujubecroft/decisions';

import { GatewayReplay } from '../src/gateway/GatewayReplay.js';
import { isSlowHost } from '../src/gateway/HostPace.js';
import type { ReplayShape } from '../src/gateway/replayShapes.js';
import { largeUnevenFleet, UNEVEN_FLEET } from '../src/gateway/replayShapes.js';

interface Outcome {
  /** Share of the narrations that were on time. */
  readonly onTime: number;
  /** Share of the narrations without a complete answer. */
  readonly unfinished: number;
  readonly liveOnTime: number;
  readonly labelsOnTime: number;
  /** Working time of slow replicas relative to that of fast ones. */
  readonly slowUse: number;
  /** Working time of the busiest replica relative to the mean. */
  readonly busiest: number;
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** Replays a load, on replicas that report their slowdown or, as before, don't. */
function replay(
  shape: ReplayShape,
  seeds: readonly number[],
  isReported: boolean,
): Outcome {
  const outcomes = seeds.map(seed => {
    const run = new GatewayReplay(defaultGatewayPolicies, seed, {
      ...shape,
      uneven: { isReported, hasMoments: true },
    });
    const results = run.run();
    const shareOf = (name: string, outcome: 'late' | 'onTime'): number => {
      const result = results.find(({ kind }) => kind === name);
      return result ? result[outcome] / result.requests : NaN;
    };
    const { busyMs } = run;
    return {
      onTime: shareOf('narration', 'onTime'),
      unfinished:
        1 - shareOf('narration', 'onTime') - shareOf('narration', 'late'),
      liveOnTime: shareOf('live', 'onTime'),
      labelsOnTime: shareOf('label', 'onTime'),
      slowUse:
        mean(busyMs.filter((_, index) => isSlowHost(index))) /
        mean(busyMs.filter((_, index) => !isSlowHost(index))),
      busiest: Math.max(...busyMs) / mean(busyMs),
    };
  });
  const meanOf = (key: keyof Outcome): number =>
    mean(outcomes.map(outcome => outcome[key]));
  return {
    onTime: meanOf('onTime'),
    unfinished: meanOf('unfinished'),
    liveOnTime: meanOf('liveOnTime'),
    labelsOnTime: meanOf('labelsOnTime'),
    slowUse: meanOf('slowUse'),
    busiest: meanOf('busiest'),
  };
}

describe('replay on replicas of which a third is 2.4 times as slow as the others', ({
  it,
}) => {
  // Guards against giving slow replicas as many long prompts as fast ones: they work
  // all the time, and one narration in ten is late or has no answer.
  const fleets: readonly (readonly [string, ReplayShape, readonly number[]])[] =
    [
      ['6 instances', UNEVEN_FLEET, [1, 2, 3]],
      ['60 instances', largeUnevenFleet(60, 27), [1]],
    ];
  fleets.forEach(([title, shape, seeds]) => {
    const before = replay(shape, seeds, false);
    const after = replay(shape, seeds, true);

    it(`has more narrations on time and answered at ${title}`, t => {
      const facts = JSON.stringify({ before, after });
      t.true(after.onTime > before.onTime + 0.04, facts);
      t.true(after.onTime > 0.95, facts);
      t.true(after.unfinished < before.unfinished, facts);
      t.true(after.labelsOnTime > before.labelsOnTime, facts);
      // Live answers go to fast replicas, but also pause there while a host is slowed
      // down for the moment.
      t.true(after.liveOnTime > 0.9, facts);
    });

    it(`uses slow replicas no more than fast ones at ${title}`, t => {
      t.true(before.slowUse > 1, String(before.slowUse));
      t.true(after.slowUse < 0.95, String(after.slowUse));
      t.true(after.busiest < 1.5, String(after.busiest));
    });
  });
});
