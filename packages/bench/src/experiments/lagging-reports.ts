import { engineTokensPerSecond } from '../simulation/scenarioOf.js';
import { overloadLowerTiers } from '../simulation/scaleScenario.js';
import type { Experiment } from './Experiment.js';

const LAG_MS = 4000;
const MULTIPLE = 0.6;

/** Load reports lag far behind while the load is high. */
export const laggingReports: Experiment = {
  meta: {
    name: 'lagging-reports',
    description:
      'Load reports arrive four seconds late while the engines are nearly full.',
    ablations: ['without-reports'],
  },
  create: deployment => ({
    ...overloadLowerTiers(
      deployment,
      engineTokensPerSecond(deployment),
      MULTIPLE,
    ),
    reportLagMs: LAG_MS,
  }),
};
