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

/** Value of a late answer as a fraction of one on time, as the users stated it. */
const LATE_ANSWER_VALUE = 0.3;

/** Creates the default policies with some options of prompt placement changed. */
function withPlacementOptions(
  options: Parameters<typeof toleranceSplit.create>[1],
): GatewayPolicyFactory {
  return board => ({
    ...defaultGatewayPolicies(board),
    placePrompt: toleranceSplit.create(board, options),
  });
}

/** Default policies without deferral of requests that are late anyway: requests are served in order of arrival. */
function withoutDeferral(board: GatewayBoard): GatewayPolicies {
  const policies = defaultGatewayPolicies(board);
  return {
    ...policies,
    placePrompt: (request, candidates) =>
      policies.placePrompt(request, candidates, false),
  };
}

/** The default policies, and variants that each disable one mechanism. */
const POLICY_ARMS: Readonly<Record<string, GatewayPolicyFactory>> = {
  all: defaultGatewayPolicies,
  'without admission': board => ({
    ...defaultGatewayPolicies(board),
    admitPrompt: admitAny.create(board),
  }),
  'without deferral': withoutDeferral,
  'without weight of reading again': withPlacementOptions({ rereadWeight: 0 }),
  'without homes of shared parts': withPlacementOptions({ homeChance: 0 }),
  'without cost of full replicas': withPlacementOptions({ crowdMs: 0 }),
  'without weight of the stream': withPlacementOptions({ streamWeight: 0 }),
  'without cost of mixing': withPlacementOptions({ mixingMs: 0 }),
  'without a least delicate group': withPlacementOptions({
    minDelicateShare: 0,
  }),
};

/** The same fleet with engines that cannot copy caches from each other. */
function withoutCopies(shape: ReplayShape): ReplayShape {
  return { ...shape, load: { ...shape.load, transfer: null } };
}

/** Value of the answers that callers received, in percent of the maximum; all kinds weigh the same. */
function valuePercent(results: readonly KindResult[]): number {
  const shares = results.map(
    ({ requests, onTime, late }) =>
      (onTime + LATE_ANSWER_VALUE * late) / Math.max(1, requests),
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
      sum(({ requests }) => requests),
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
    [`${name}: earned, %`, valuePercent(results)],
    [`${name}: not served, %`, unservedPercent(results)],
    [`${name}: shared tokens read, thousands`, replay.sharedPrefillKilotokens],
  ];
}

/** Measures what each mechanism of the gateway's decisions contributes, in virtual time. */
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
          ...Object.entries(POLICY_ARMS).flatMap(([arm, createPolicies]) =>
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
