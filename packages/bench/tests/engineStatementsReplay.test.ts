import { describe } from '@jujubecroft/testing';
import { defaultGatewayPolicies } from '@jujubecroft/decisions';

import { GatewayReplay } from '../src/gateway/GatewayReplay.js';
import type { ReplayShape } from '../src/gateway/replayShapes.js';
import { SMALL_FLEET } from '../src/gateway/replayShapes.js';

const SEED = 1;
const OVERLOAD = { fromMs: 2000, toMs: 20_000, engines: 1, pauseMs: 3000 };
const LEAVE = { fromMs: 4000, engines: 1 };

function replay(shape: Partial<ReplayShape>) {
  const run = new GatewayReplay(defaultGatewayPolicies, SEED, {
    ...SMALL_FLEET,
    ...shape,
  });
  const results = run.run();
  const live = results.find(({ kind }) => kind === 'live');
  return {
    run,
    results,
    liveOnTimeShare: (live?.onTime ?? 0) / (live?.requests ?? 1),
  };
}

// Guards against engines that get requests which they have said not to accept, and against
// urgent requests that suffer from capacity that only seems to be there.
describe('replay of a burst with engines that make statements about themselves', ({
  it,
}) => {
  it('leaves an overloaded engine alone in the pauses that it requests', t => {
    const { run, results, liveOnTimeShare } = replay({ overload: OVERLOAD });
    const pauses = (OVERLOAD.toMs - OVERLOAD.fromMs) / OVERLOAD.pauseMs;
    t.log(`${run.rejections} rejections`);
    t.true(run.rejections > 0);
    // Several requests of an instance may be under way when the first is rejected.
    t.true(run.rejections <= 3 * pauses * SMALL_FLEET.instances);
    t.true(liveOnTimeShare > 0.85, `${liveOnTimeShare}`);
    results.forEach(({ kind, requests, onTime, late, refused, cut }) => {
      t.is(onTime + late + refused + cut, requests, kind);
    });
  });

  it('sends nothing to an engine whose leave was announced', t => {
    const { run, liveOnTimeShare } = replay({ leave: LEAVE });
    t.true(run.announcedLeaves > 1);
    t.is(run.requestsAfterLeave, 0);
    t.true(liveOnTimeShare > 0.85, `${liveOnTimeShare}`);
  });
});
