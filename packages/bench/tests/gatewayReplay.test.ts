import { describe } from '@jujubecroft/testing';
import {
  admitAny,
  defaultGatewayPolicies,
  leastBusy,
} from '@jujubecroft/decisions';

import type { GatewayPolicyFactory } from '../src/gateway/createReplayRouter.js';
import { GatewayReplay } from '../src/gateway/GatewayReplay.js';

const SEED = 1;
/** Seeds of further replays, for differences that are too small for a single replay to show. */
const FURTHER_SEEDS = [2, 3, 4];

/** Replays the burst; `share` is the fraction of the requests of a kind with an outcome. */
function replayBurst(createPolicies: GatewayPolicyFactory, seed = SEED) {
  const replay = new GatewayReplay(createPolicies, seed);
  const results = replay.run();
  const share = (
    kind: string,
    outcome: 'cut' | 'late' | 'onTime' | 'refused',
  ): number => {
    const result = results.find(entry => entry.kind === kind);
    return result ? result[outcome] / result.requests : NaN;
  };
  return { results, share, prefillKilotokens: replay.sharedPrefillKilotokens };
}

const byDefault = replayBurst(defaultGatewayPolicies);
const admitAll: GatewayPolicyFactory = board => ({
  ...defaultGatewayPolicies(board),
  admitPrompt: admitAny.create(board),
});
const withoutAdmission = replayBurst(admitAll);
const byLeastBusy = replayBurst(board => ({
  placePrompt: leastBusy.create(board),
  placeCall: leastBusy.create(board),
  admitPrompt: admitAny.create(board),
  admitCall: admitAny.create(board),
}));

describe('replay of gateway decisions in a burst of long prompts', ({ it }) => {
  it('counts every request under exactly one outcome', t => {
    [byDefault, withoutAdmission, byLeastBusy].forEach(({ results }) => {
      results.forEach(({ kind, requests, onTime, late, refused, cut }) => {
        t.is(onTime + late + refused + cut, requests, kind);
      });
    });
  });

  it('keeps live answers on time, unlike least-busy placement', t => {
    // Guards against invoices that arrive in bulk slowing the chefs' live answers: if
    // every engine prefills long prompts between the tokens of live answers, the gaps
    // between those grow.
    t.true(byDefault.share('live', 'onTime') > 0.85);
    t.true(byLeastBusy.share('live', 'onTime') < 0.3);
  });

  it('refuses long prompts instead of starting answers that are cut at the time limit', t => {
    // Without admission everything starts on time, but a fifth of the long answers is
    // cut at the time limit, so their engine time is wasted.
    t.true(withoutAdmission.share('long', 'cut') > 0.1);
    t.true(byDefault.share('long', 'cut') < 0.05);
    const onTime = (
      createPolicies: GatewayPolicyFactory,
      first: ReturnType<typeof replayBurst>,
    ): number =>
      [
        first,
        ...FURTHER_SEEDS.map(seed => replayBurst(createPolicies, seed)),
      ].reduce((sum, { share }) => sum + share('long', 'onTime'), 0);
    t.true(
      onTime(defaultGatewayPolicies, byDefault) >
        onTime(admitAll, withoutAdmission),
    );
  });

  it('never refuses live requests, the most urgent kind', t => {
    t.is(byDefault.share('live', 'refused'), 0);
  });

  it('prefills fewer shared prompt parts than least-busy placement', t => {
    t.true(byDefault.prefillKilotokens < 0.8 * byLeastBusy.prefillKilotokens);
  });
});
