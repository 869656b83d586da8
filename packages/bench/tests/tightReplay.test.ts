import { describe } from '@jujubecroft/testing';
import type { GatewayBoard, GatewayPolicies } from '@jujubecroft/decisions';
import { defaultGatewayPolicies } from '@jujubecroft/decisions';

import { GatewayReplay } from '../src/gateway/GatewayReplay.js';
import { TIGHT_FLEET } from '../src/gateway/replayShapes.js';

const SEEDS = [1, 2, 3];

/** Policies that let everything queue in the order in which it came. */
function inOrderOfArrival(board: GatewayBoard): GatewayPolicies {
  const policies = defaultGatewayPolicies(board);
  return {
    ...policies,
    placePrompt: (request, candidates) =>
      policies.placePrompt(request, candidates, false),
  };
}

/** Share of the drafts, over all seeds, that had one outcome. */
function shareOf(
  createPolicies: (board: GatewayBoard) => GatewayPolicies,
  outcome: 'cut' | 'onTime',
): number {
  const drafts = SEEDS.flatMap(seed =>
    new GatewayReplay(createPolicies, seed, TIGHT_FLEET)
      .run()
      .filter(({ kind }) => kind === 'draft'),
  );
  const sum = (of: 'asked' | 'cut' | 'onTime'): number =>
    drafts.reduce((total, result) => total + result[of], 0);
  return sum(outcome) / sum('asked');
}

describe('a burst of long drafts with tight targets', ({ it }) => {
  // Drafts ask for more than the engines can read. Served in the order in which
  // they came all of them wait for more than their target; with those that are
  // late anyway behind the others, most are on time.
  it('keeps most drafts on time by deferring those that are late anyway', t => {
    const ours = shareOf(defaultGatewayPolicies, 'onTime');
    const inOrder = shareOf(inOrderOfArrival, 'onTime');
    t.true(ours > inOrder + 0.05, `${ours} against ${inOrder}`);
  });

  it('starves few of the deferred', t => {
    const cut = shareOf(defaultGatewayPolicies, 'cut');
    t.true(cut < 0.05, String(cut));
  });
});
