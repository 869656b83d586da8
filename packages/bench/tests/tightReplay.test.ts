import { describe } from '@jujubecroft/testing';
import type { GatewayBoard, GatewayPolicies } from '@jujubecroft/decisions';
import { defaultGatewayPolicies } from '@jujubecroft/decisions';

import { GatewayReplay } from '../src/gateway/GatewayReplay.js';
import { TIGHT_FLEET } from '../src/gateway/replayShapes.js';

const SEEDS = [1, 2, 3];

/** Default policies without deferral: requests queue in order of arrival. */
function inOrderOfArrival(board: GatewayBoard): GatewayPolicies {
  const policies = defaultGatewayPolicies(board);
  return {
    ...policies,
    placePrompt: (request, candidates) =>
      policies.placePrompt(request, candidates, false),
  };
}

/** Share of the drafts with the given outcome, over all seeds. */
function shareOf(
  createPolicies: (board: GatewayBoard) => GatewayPolicies,
  outcome: 'cut' | 'onTime',
): number {
  const drafts = SEEDS.flatMap(seed =>
    new GatewayReplay(createPolicies, seed, TIGHT_FLEET)
      .run()
      .filter(({ kind }) => kind === 'draft'),
  );
  const sum = (of: 'requests' | 'cut' | 'onTime'): number =>
    drafts.reduce((total, result) => total + result[of], 0);
  return sum(outcome) / sum('requests');
}

describe('replay of a burst of long drafts with tight targets', ({ it }) => {
  // Drafts need more prefill than the engines can do. In order of arrival, all of
  // them wait for longer than their target; if those that are late anyway are served
  // after the others, most are on time.
  it('gets more drafts on time by deferring those that are late anyway', t => {
    const withDeferral = shareOf(defaultGatewayPolicies, 'onTime');
    const inOrder = shareOf(inOrderOfArrival, 'onTime');
    t.true(withDeferral > inOrder + 0.05, `${withDeferral} against ${inOrder}`);
  });

  it('cuts few of the deferred drafts at the time limit', t => {
    const cut = shareOf(defaultGatewayPolicies, 'cut');
    t.true(cut < 0.05, String(cut));
  });
});
