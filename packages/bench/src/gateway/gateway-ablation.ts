import type { GatewayBoard, GatewayPolicies } from '@jujubecroft/decisions';
import {
  admitAny,
  defaultGatewayPolicies,
  toleranceSplit,
} from '@jujubecroft/decisions';

import type { FleetExperiment } from '../fleet/FleetExperiment.js';
import type { GatewayPolicyFactory } from './createReplayRouter.js';
import type { KindResult } from './GatewayReplay.js';
import { GatewayReplay } from './GatewayReplay.js';
import type { ReplayShape } from './replayShapes.js';
import { LARGE_FLEET, SMALL_FLEET, TIGHT_FLEET } from './replayShapes.js';

const FLEETS: Readonly<Record<string, ReplayShape>> = {
  six: SMALL_FLEET,
  tight: TIGHT_FLEET,
  sixty: LARGE_FLEET,
};

/** What a late answer is worth to its caller against one on time, as users told. */
const LATE_WORTH = 0.3;

/** The default policies with some options of the placement of prompts changed. */
function placingWith(
  options: Parameters<typeof toleranceSplit.create>[1],
): GatewayPolicyFactory {
  return board => ({
    ...defaultGatewayPolicies(board),
    placePrompt: toleranceSplit.create(board, options),
  });
}

/** Everything in the order in which it came. */
function withoutDeferral(board: GatewayBoard): GatewayPolicies {
  const policies = defaultGatewayPolicies(board);
  return {
    ...policies,
    placePrompt: (request, candidates) =>
      policies.placePrompt(request, candidates, false),
  };
}

/** Each mechanism of deciding, switched off alone. */
const ARMS: Readonly<Record<string, GatewayPolicyFactory>> = {
  all: defaultGatewayPolicies,
  'without admission': board => ({
    ...defaultGatewayPolicies(board),
    admitPrompt: admitAny.create(board),
  }),
  'without deferral': withoutDeferral,
  'without weight of reading again': placingWith({ rereadWeight: 0 }),
  'without homes of shared parts': placingWith({ homeChance: 0 }),
  'without cost of full replicas': placingWith({ crowdMs: 0 }),
  'without weight of the stream': placingWith({ streamWeight: 0 }),
  'without cost of mixing': placingWith({ mixingMs: 0 }),
  'without a least delicate group': placingWith({ minDelicateShare: 0 }),
};

/** The same fleet with engines that can't copy their caches. */
function withoutCopies(shape: ReplayShape): ReplayShape {
  return { ...shape, load: { ...shape.load, transfer: null } };
}

/** Worth that callers had, in percent of what they could have; kinds count alike. */
function earnedPercent(results: readonly KindResult[]): number {
  const shares = results.map(
    ({ asked, onTime, late }) =>
      (onTime + LATE_WORTH * late) / Math.max(1, asked),
  );
  const sum = shares.reduce((total, share) => total + share, 0);
  return (100 * sum) / Math.max(1, shares.length);
}

function unservedPercent(results: readonly KindResult[]): number {
  const sum = (of: (result: KindResult) => number): number =>
    results.reduce((total, result) => total + of(result), 0);
  const unserved = sum(({ refused, cut }) => refused + cut);
  return (
    (100 * unserved) /
    Math.max(
      1,
      sum(({ asked }) => asked),
    )
  );
}

function figuresOf(
  name: string,
  createPolicies: GatewayPolicyFactory,
  seed: number,
  shape: ReplayShape,
): readonly (readonly [string, number])[] {
  const replay = new GatewayReplay(createPolicies, seed, shape);
  const results = replay.run();
  return [
    [`${name}: earned, %`, earnedPercent(results)],
    [`${name}: not served, %`, unservedPercent(results)],
    [`${name}: shared tokens read, thousands`, replay.sharedThousandsRead],
  ];
}

/** What each mechanism of the gateway's decisions is worth, on virtual time. */
export const gatewayAblation: FleetExperiment = {
  meta: {
    name: 'gateway-ablation',
    description:
      'The loads of gateway-burst, and one with tight targets, with each mechanism of deciding switched off alone; worth that callers had, requests not served, shared tokens read.',
  },
  run: ({ seed }) =>
    Promise.resolve({
      experiment: 'gateway-ablation',
      seed,
      figures: Object.fromEntries(
        Object.entries(FLEETS).flatMap(([fleet, shape]) => [
          ...Object.entries(ARMS).flatMap(([arm, createPolicies]) =>
            figuresOf(`${fleet}, ${arm}`, createPolicies, seed, shape),
          ),
          ...figuresOf(
            `${fleet}, without copies`,
            defaultGatewayPolicies,
            seed,
            withoutCopies(shape),
          ),
        ]),
      ),
      classes: [],
      brokenPromises: [],
    }),
};
