import {
  admitAny,
  defaultGatewayPolicies,
  leastBusy,
} from '@jujubecroft/decisions';

import type { GatewayPolicyFactory } from './createReplayRouter.js';
import { GatewayReplay } from './GatewayReplay.js';
import type { ReplayShape } from './replayShapes.js';
import { LARGE_FLEET, SMALL_FLEET } from './replayShapes.js';
import type { FleetExperiment } from '../fleet/FleetExperiment.js';

/** Policies that are compared on the same load. */
const POLICY_ARMS: Readonly<Record<string, GatewayPolicyFactory>> = {
  jujubecroft: defaultGatewayPolicies,
  withoutAdmission: board => ({
    ...defaultGatewayPolicies(board),
    admitPrompt: admitAny.create(board),
  }),
  leastBusy: board => ({
    placePrompt: leastBusy.create(board),
    placeCall: leastBusy.create(board),
    admitPrompt: admitAny.create(board),
    admitCall: admitAny.create(board),
  }),
};

const percent = (part: number, whole: number): number =>
  (100 * part) / Math.max(1, whole);

/** Figures of one arm: shares of each outcome by kind, and shared tokens prefilled. */
function figuresOf(
  arm: string,
  createPolicies: GatewayPolicyFactory,
  seed: number,
  shape: ReplayShape,
): readonly (readonly [string, number])[] {
  const replay = new GatewayReplay(createPolicies, seed, shape);
  const shares = replay
    .run()
    .flatMap(({ kind, requests, onTime, refused, cut }) => [
      [`${arm}, ${kind}: on time, %`, percent(onTime, requests)] as const,
      [`${arm}, ${kind}: refused, %`, percent(refused, requests)] as const,
      [`${arm}, ${kind}: cut, %`, percent(cut, requests)] as const,
    ]);
  return [
    ...shares,
    [`${arm}: shared tokens read, thousands`, replay.sharedPrefillKilotokens],
  ];
}

/** Measures the gateway's decisions during a burst, in virtual time. */
export const gatewayBurst: FleetExperiment = {
  meta: {
    name: 'gateway-burst',
    description:
      'Six instances of the gateway before eight engines; long prompts come at 2.2 times and live ones at twice their rate for eight seconds; shares on time, refused and cut of each kind, on virtual time; the same once more at sixty instances.',
  },
  run: ({ seed }) =>
    Promise.resolve({
      experiment: 'gateway-burst',
      seed,
      figures: Object.fromEntries([
        ...Object.entries(POLICY_ARMS).flatMap(([arm, createPolicies]) =>
          figuresOf(arm, createPolicies, seed, SMALL_FLEET),
        ),
        ...figuresOf(
          'sixty instances',
          defaultGatewayPolicies,
          seed,
          LARGE_FLEET,
        ),
      ]),
      classes: [],
      brokenPromises: [],
    }),
};
