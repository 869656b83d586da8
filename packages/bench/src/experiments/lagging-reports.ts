import { engineTokensPerSecond } from '../simulation/createScenario.js';
import { overloadLowerTiers } from '../simulation/scaleScenario.js';
import type { Experiment } from './Experiment.js';

const REPORT_LAG_MS = 4000;
const DEMAND_OVER_CAPACITY = 0.6;

/** Load reports arrive 4 s late while the load is high. */
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
      DEMAND_OVER_CAPACITY,
    ),
    reportLagMs: REPORT_LAG_MS,
  }),
};
