import { describe } from '@jujubecroft/testing';
import { defaultGatewayPolicies } from '@jujubecroft/decisions';

import { GatewayReplay } from '../src/gateway/GatewayReplay.js';
import { LARGE_FLEET } from '../src/gateway/replayShapes.js';

const SEED = 1;

describe('a burst at sixty instances that hear of a dozen others', ({ it }) => {
  // Chefs wait at the pass while invoices arrive in bulk at sixty instances. Each
  // knows a fifth of the work; taken for all of it, replicas are split for a
  // fifth of the demand, and under half of the live answers are on time.
  it('keeps live answers on time', t => {
    const replay = new GatewayReplay(defaultGatewayPolicies, SEED, LARGE_FLEET);
    const results = replay.run();
    const live = results.find(({ kind }) => kind === 'live');
    t.true((live?.onTime ?? 0) > 0.85 * (live?.asked ?? Infinity));
    t.is(live?.refused, 0);
    results.forEach(({ kind, asked, onTime, late, refused, cut }) => {
      t.is(onTime + late + refused + cut, asked, kind);
    });
  });
});
