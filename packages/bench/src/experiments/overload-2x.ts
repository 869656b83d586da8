import { engineTokensPerSecond } from '../simulation/scenarioOf.js';
import { overloadLowerTiers } from '../simulation/scaleScenario.js';
import type { Experiment } from './Experiment.js';

const MULTIPLE = 2;

/** Lower tiers ask for twice what the engines can generate, all the time. */
export const overload2x: Experiment = {
  meta: {
    name: 'overload-2x',
    description:
      'Classes below tier 1 together ask for twice the token capacity throughout.',
    ablations: [
      'without-admission',
      'without-tiers',
      'without-limit',
      'without-reports',
    ],
  },
  create: deployment =>
    overloadLowerTiers(deployment, engineTokensPerSecond(deployment), MULTIPLE),
};
