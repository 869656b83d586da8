import { describe } from '@jujubecroft/testing';
import { defaultGatewayPolicies } from '@jujubecroft/decisions';

import { GatewayReplay } from '../src/gateway/GatewayReplay.js';
import { LARGE_FLEET } from '../src/gateway/replayShapes.js';

const SEED = 1;

describe('replay of a burst on sixty instances that each know the work of a dozen others', ({
  it,
}) => {
  // Guards against an instance taking the fifth of the work that it knows of for all
  // work: replicas are then divided for a fifth of the demand, and fewer than half of
  // the live answers are on time while invoices arrive in bulk.
  it('keeps live answers on time and refuses none', t => {
    const replay = new GatewayReplay(defaultGatewayPolicies, SEED, LARGE_FLEET);
    const results = replay.run();
    const live = results.find(({ kind }) => kind === 'live');
    t.true((live?.onTime ?? 0) > 0.85 * (live?.requests ?? Infinity));
    t.is(live?.refused, 0);
    results.forEach(({ kind, requests, onTime, late, refused, cut }) => {
      t.is(onTime + late + refused + cut, requests, kind);
    });
  });
});
