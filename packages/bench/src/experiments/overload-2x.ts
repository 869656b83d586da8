import { engineTokensPerSecond } from '../simulation/createScenario.js';
import { overloadLowerTiers } from '../simulation/scaleScenario.js';
import type { Experiment } from './Experiment.js';

const DEMAND_OVER_CAPACITY = 2;

/**
 * Throughout the run, the tiers below 1 demand twice the engines' token
 * capacity.
 */
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
    overloadLowerTiers(
      deployment,
      engineTokensPerSecond(deployment),
      DEMAND_OVER_CAPACITY,
    ),
};
