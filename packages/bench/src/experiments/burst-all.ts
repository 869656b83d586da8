import { mapStreams } from '../simulation/scaleScenario.js';
import type { Experiment } from './Experiment.js';

const BURST = { startSeconds: 15, seconds: 15, factor: 3 };

/** All request classes burst at the same time. */
export const burstAll: Experiment = {
  meta: {
    name: 'burst-all',
    description: 'Every class sends three times its load for 15 seconds.',
    ablations: ['without-admission', 'without-limit'],
  },
  create: deployment =>
    mapStreams(deployment, stream => ({ ...stream, burst: BURST })),
};
